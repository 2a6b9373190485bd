package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServingTable
import java.time.Duration

/**
 * Decides which requests are sent, wait at the gateway or are refused while a service with engines is overloaded, see
 * [ServiceOverload]. Not thread-safe.
 *
 * Each request has a position between 0 and 1, and those below the share that the service has room for are sent. A request
 * above it waits while it is still on time, and is sent when the share rises above its position. One that has no prospect of
 * this is refused within an eighth of its target latency. Positions depend on the request alone, so the instances together
 * send the share that each of them computes, however unevenly the requests are spread.
 */
public class OverloadAdmission(
    private val loadOf: (service: String, nanos: Long) -> ServiceLoad,
    private val accountShares: AccountShares,
) {
    private var table: ServingTable? = null
    private val services = HashMap<String, ServiceOverload>()

    /** Sets the serving table that describes routes and services. */
    public fun updateTable(table: ServingTable) {
        if (this.table === table) return
        this.table = table
        services.keys.retainAll { table.service(it) != null }
        services.values.forEach { it.updateTable(table) }
    }

    /** Overload level of [service] for the present table. */
    public fun overloadOf(service: String): ServiceOverload? {
        val table = table ?: return null
        if (table.service(service) == null) return null
        return services.getOrPut(service) { ServiceOverload(table, service) }
    }

    /** Decides on [request]. */
    public fun decide(
        request: OverloadRequest,
        nanos: Long,
    ): AdmissionStep {
        val overload = overloadOf(request.service)?.takeIf { it.isApplicable } ?: return AdmissionStep.Admit
        val shares = sharesOf(request, overload, nanos)
        val position = positionOf(request, overload)
        if (position < shares.now) return AdmissionStep.Admit
        val latestSend = overload.latestSendNanos(request.route, request.arrivedNanos)
        if (position < shares.afterWait) return if (nanos < latestSend) AdmissionStep.Hold(latestSend) else AdmissionStep.Admit
        val latestRefusal = request.arrivedNanos + request.route.targetLatency.toNanos() / FREE_HOLD_DIVISOR
        if (nanos < minOf(latestRefusal, latestSend)) return AdmissionStep.Hold(minOf(latestRefusal, latestSend))
        return AdmissionStep.Refuse(shares.obstacle, returnTime(request, overload, position, latestSend, nanos))
    }

    /** Shares of the requests like [request], of its account, that there is room for. */
    public fun sharesOf(
        request: OverloadRequest,
        overload: ServiceOverload,
        nanos: Long,
    ): AdmissionShares {
        overload.update(loadOf(request.service, nanos))
        return accountShares.apply(request, overload.shares(request.route, request.priority.effective), nanos)
    }

    /**
     * Position of [request]; requests with higher ones are cheaper to delay. It is equally distributed, except that a caller that
     * has less time left comes earlier, and a request that needs more tokens than the mean later.
     */
    private fun positionOf(
        request: OverloadRequest,
        overload: ServiceOverload,
    ): Double {
        val timeout = request.route.timeout.toNanos().toDouble()
        val timeLeftAtArrival = (request.deadlineNanos - request.arrivedNanos) / maxOf(1.0, timeout)
        val mean = overload.meanTokens(request.route)
        val size = if (mean > 0) request.tokens / (request.tokens + mean) - 0.5 else 0.0
        return (request.unitPosition * timeLeftAtArrival.coerceIn(0.0, 1.0) + SIZE_WEIGHT * size).coerceIn(0.0, MAX_POSITION)
    }

    private fun returnTime(
        request: OverloadRequest,
        overload: ServiceOverload,
        position: Double,
        latestSendNanos: Long,
        nanos: Long,
    ): Duration? =
        ReturnTime.of(
            Duration.ofNanos(request.deadlineNanos - nanos),
            Duration.ofNanos(latestSendNanos - nanos),
            overload.workTime(request.route),
            overload.load.meanWait,
            position,
        )

    private companion object {
        /** A refusal within this part of the target latency costs callers nothing. */
        const val FREE_HOLD_DIVISOR = 8L

        /** Greatest difference that the size of a request makes to its position, in both directions. */
        const val SIZE_WEIGHT = 0.2

        /** A request at this position is sent only while there is room for all. */
        const val MAX_POSITION = 0.999_999
    }
}
