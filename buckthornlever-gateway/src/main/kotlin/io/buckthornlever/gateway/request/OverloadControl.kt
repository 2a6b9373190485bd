package io.buckthornlever.gateway.request

import io.buckthornlever.core.serving.AccountClass
import io.buckthornlever.core.serving.AccountDemand
import io.buckthornlever.core.serving.AccountShares
import io.buckthornlever.core.serving.AdmissionShares
import io.buckthornlever.core.serving.AdmissionStep
import io.buckthornlever.core.serving.OverloadAdmission
import io.buckthornlever.core.serving.OverloadRequest
import io.buckthornlever.core.serving.RequestPriority
import io.buckthornlever.core.serving.ServiceOverload
import io.buckthornlever.core.serving.ServingTableCache
import io.buckthornlever.core.serving.UpstreamBalancer
import io.buckthornlever.core.serving.UrgencyScale
import io.buckthornlever.gateway.process.EventLog
import io.buckthornlever.gateway.process.Feature
import io.buckthornlever.gateway.process.GatewayEvent
import io.buckthornlever.gateway.process.GatewayMetrics

/** Applies the decisions on overload of `buckthornlever-core` to requests, as far as their features are on. */
internal class OverloadControl(
    private val tableCache: ServingTableCache,
    private val balancer: UpstreamBalancer,
    private val isEnabled: (Feature) -> Boolean,
    private val log: EventLog,
    private val metrics: GatewayMetrics,
) {
    private val accountShares = AccountShares()
    private val admission = OverloadAdmission(balancer::serviceLoad, accountShares)
    private val accountDemand = AccountDemand()
    private val engagedServices = HashSet<String>()
    private val logTimes = HashMap<String, Long>()
    private var scaleVersion: Long? = null
    private var scale: UrgencyScale? = null

    /** Number of services with engines that delay or refuse requests. */
    val engagedCount: Int get() = engagedServices.size

    /** Priority with which a request waits for an upstream. */
    fun queuePriority(priority: RequestPriority): RequestPriority =
        if (isEnabled(Feature.UPSTREAM_PRIORITY)) priority else RequestPriority(priority.effective)

    /** Urgency of a request to [service] that its upstream is told; null if it is not told any. */
    fun urgency(
        service: String,
        priority: RequestPriority,
    ): Int? {
        if (!isEnabled(Feature.UPSTREAM_PRIORITY)) return null
        val table = tableCache.table ?: return null
        if (scaleVersion != table.version) {
            scaleVersion = table.version
            scale = UrgencyScale(table)
        }
        return scale?.urgency(service, priority)
    }

    /** Overload level of [service]; null if it has none. */
    fun overloadOf(service: String): ServiceOverload? {
        if (!isEnabled(Feature.OVERLOAD_ADMISSION)) return null
        tableCache.table?.let(admission::updateTable)
        return admission.overloadOf(service)?.takeIf { it.isApplicable }
    }

    /** Decides whether [request] is sent, waits or is refused. */
    fun decide(
        request: OverloadRequest,
        nanos: Long,
    ): AdmissionStep {
        val overload = overloadOf(request.service) ?: return AdmissionStep.Admit
        val step = admission.decide(request, nanos)
        if (overload.isEngaged) engagedServices.add(request.service) else engagedServices.remove(request.service)
        if (step is AdmissionStep.Refuse) metrics.recordOverloadRefusal(request.service, step.obstacle)
        logLevel(request.service, overload, nanos)
        return step
    }

    /** Shares of the requests like [request] that its service, with [overload], has room for. */
    fun sharesOf(
        request: OverloadRequest,
        overload: ServiceOverload,
        nanos: Long,
    ): AdmissionShares = admission.sharesOf(request, overload, nanos)

    /** Ends levels of services that get no requests any more. */
    fun tick(nanos: Long) {
        for (service in engagedServices.toList()) {
            val overload = overloadOf(service)
            overload?.update(balancer.serviceLoad(service, nanos))
            if (overload?.isEngaged != true) engagedServices.remove(service)
            if (overload != null) logLevel(service, overload, nanos)
        }
    }

    /** Counts the tokens that [request] asks for. */
    fun onRequest(
        request: OverloadRequest,
        nanos: Long,
    ) {
        val account = request.account ?: return
        if (!isEnabled(Feature.ACCOUNT_FAIRNESS) || overloadOf(request.service) == null) return
        accountDemand.onRequest(AccountClass(request.service, request.priority.effective, account), request.tokens, nanos)
    }

    /** True if the account of [request] uses more than its share of the service. */
    fun isBeyondShare(
        request: OverloadRequest,
        nanos: Long,
    ): Boolean = isEnabled(Feature.ACCOUNT_FAIRNESS) && overloadOf(request.service) != null && accountShares.isBeyondShare(request, nanos)

    /** Tokens per second that accounts ask this instance for, for the holder of the duty lease. */
    fun ownAccountRates(nanos: Long): Map<String, Double> = accountDemand.ownRates(nanos)

    /** Adds the [rates] of another instance to those that this instance, the holder of the duty lease, gathers. */
    fun onPeerAccountRates(
        sender: String,
        rates: Map<String, Double>,
        nanos: Long,
    ): Unit = accountDemand.updatePeer(sender, rates, nanos)

    /** Tokens per second that accounts ask all instances for, which this instance, the holder of the duty lease, tells the others. */
    fun accountRates(nanos: Long): Map<String, Double> = accountDemand.rates(nanos).also { onAccountRates(it, nanos) }

    /** Takes over the [rates] that the holder of the duty lease tells. */
    fun onAccountRates(
        rates: Map<String, Double>,
        nanos: Long,
    ) {
        if (isEnabled(Feature.ACCOUNT_FAIRNESS)) accountShares.update(AccountDemand.decode(rates), nanos)
    }

    /** Logs that the level of [service] was engaged or disengaged; at most one line a second for each service. */
    private fun logLevel(
        service: String,
        overload: ServiceOverload,
        nanos: Long,
    ) {
        val isLogged = logTimes.containsKey(service)
        if (overload.isEngaged == isLogged) return
        if (isLogged && nanos - logTimes.getValue(service) < LOG_INTERVAL_NANOS) return
        if (isLogged) logTimes.remove(service) else logTimes[service] = nanos
        log.write(
            GatewayEvent.OVERLOAD_CHANGED,
            "service" to service,
            "engaged" to overload.isEngaged,
            "waitMillis" to overload.load.meanWait.toMillis(),
            "loadAgeMillis" to overload.load.age?.toMillis(),
        )
    }

    private companion object {
        /** A level that is engaged and disengaged again and again takes at most two lines in this time. */
        const val LOG_INTERVAL_NANOS = 1_000_000_000L
    }
}
