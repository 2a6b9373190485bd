package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.UpstreamOrder
import io.buckthornlever.core.serving.CapacityPlan
import io.buckthornlever.core.serving.DemandMeter
import io.buckthornlever.core.serving.UpstreamBalancer
import java.time.Duration

/**
 * Sends the upstream orders of the capacity plans to the platform while this instance holds the duty lease. An order states the
 * wanted number of upstreams and is idempotent. It is sent when the plan changes and repeated while the upstreams do not appear.
 */
internal class UpstreamOrderSender(
    private val self: String,
    private val domains: List<FailureDomain>,
    private val clock: Clock,
    private val duties: SingletonDuties,
    private val balancer: UpstreamBalancer,
    private val demand: DemandMeter,
    private val log: EventLog,
    private val onSuperseded: (Long) -> Unit,
) {
    private val plans = HashMap<String, CapacityPlan>()
    private val sentOrders = HashMap<OrderKey, SentOrder>()
    private var actingFencing = Long.MIN_VALUE

    fun tick(
        table: ServingTable,
        fencing: Long,
    ) {
        if (fencing != actingFencing) {
            // The orders of the previous holder are not known to this instance.
            sentOrders.clear()
            plans.clear()
            actingFencing = fencing
        }
        val now = clock.monotonicNanos()
        for (service in table.services) {
            val limits = service.scaling ?: continue
            val plan = plans.getOrPut(service.name) { CapacityPlan(service.name) }
            plan
                .orders(limits, domains, balancer.upstreams.toList(), demand.tokensPerSecond(service.name, now), now, balancer.evacuated)
                .filter { isDue(it, now) }
                .forEach { send(it, fencing, now) }
        }
    }

    private fun isDue(
        order: UpstreamOrder,
        now: Long,
    ): Boolean {
        val last = sentOrders[OrderKey(order)] ?: return true
        if (last.inFlight) return false
        val elapsed = Duration.ofNanos(now - last.atNanos)
        if (last.outcome != DutyOutcome.ACCEPTED) return elapsed >= RETRY_AFTER_REFUSAL
        if (last.count != order.count) return elapsed >= MIN_CHANGE_INTERVAL
        return runningCount(order) != order.count && elapsed >= RETRY_WHEN_MISSING
    }

    private fun runningCount(order: UpstreamOrder): Int =
        balancer.upstreams.count {
            val upstream = it.upstream
            upstream.service == order.service &&
                upstream.domain == order.domain &&
                upstream.reclaimable == order.reclaimable &&
                !upstream.leaving
        }

    private fun send(
        order: UpstreamOrder,
        fencing: Long,
        now: Long,
    ) {
        val sent = SentOrder(order.count, now)
        sentOrders[OrderKey(order)] = sent
        duties.orderUpstreams(self, fencing, order) { outcome ->
            sent.inFlight = false
            sent.outcome = outcome
            log.write(
                GatewayEvent.UPSTREAMS_ORDERED,
                "service" to order.service,
                "domain" to order.domain,
                "count" to order.count,
                "reclaimable" to order.reclaimable,
                "fencing" to fencing,
                "outcome" to outcome,
            )
            if (outcome != DutyOutcome.CONFLICT) return@orderUpstreams
            // For reclaimable upstreams a conflict may also mean that none are available at the moment.
            if (order.reclaimable) plans[order.service]?.onReclaimableRefused(clock.monotonicNanos()) else onSuperseded(fencing)
        }
    }

    private data class OrderKey(
        val service: String,
        val domain: FailureDomain,
        val reclaimable: Boolean,
    ) {
        constructor(order: UpstreamOrder) : this(order.service, order.domain, order.reclaimable)
    }

    private class SentOrder(
        val count: Int,
        val atNanos: Long,
    ) {
        var inFlight = true
        var outcome = DutyOutcome.UNKNOWN
    }

    private companion object {
        /** Longer than the lease, so that a holder whose order was refused notices first that it has been replaced. */
        val RETRY_AFTER_REFUSAL: Duration = Duration.ofMillis(3_500)

        /** Limits an oscillating plan to one order per second for each service, failure domain and reclaimability. */
        val MIN_CHANGE_INTERVAL: Duration = Duration.ofSeconds(1)

        /** Longer than an upstream's start including its cold phase, and than the delay of an order that is carried out late. */
        val RETRY_WHEN_MISSING: Duration = Duration.ofSeconds(8)
    }
}
