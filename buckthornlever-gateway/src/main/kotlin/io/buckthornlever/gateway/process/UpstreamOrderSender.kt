package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.UpstreamOrder
import io.buckthornlever.core.serving.CapacityPlan
import io.buckthornlever.core.serving.DemandMeter
import io.buckthornlever.core.serving.OrderedVersion
import io.buckthornlever.core.serving.UpstreamBalancer
import io.buckthornlever.core.serving.UpstreamOrderSchedule

/**
 * Sends the upstream orders of the capacity plans to the platform while this instance holds the duty lease.
 *
 * @param orderedVersion version that an operator has ordered a service to move to, null if there is none
 */
internal class UpstreamOrderSender(
    private val self: String,
    private val domains: List<FailureDomain>,
    private val clock: Clock,
    private val duties: SingletonDuties,
    private val balancer: UpstreamBalancer,
    private val demand: DemandMeter,
    private val orderedVersion: (service: String) -> OrderedVersion?,
    private val log: EventLog,
    private val onSuperseded: (Long) -> Unit,
) {
    private val plans = HashMap<String, CapacityPlan>()
    private val schedule = UpstreamOrderSchedule()
    private var actingFencing = Long.MIN_VALUE

    fun tick(
        table: ServingTable,
        fencing: Long,
    ) {
        if (fencing != actingFencing) {
            // The orders of the previous holder are not known to this instance.
            schedule.clear()
            plans.clear()
            actingFencing = fencing
        }
        val now = clock.monotonicNanos()
        for (service in table.services) {
            val limits = service.scaling ?: continue
            val plan = plans.getOrPut(service.name) { CapacityPlan(service.name) }
            val tokensPerSecond = demand.tokensPerSecond(service.name, now)
            plan
                .orders(
                    limits,
                    domains,
                    balancer.upstreams.toList(),
                    tokensPerSecond,
                    now,
                    balancer.evacuated,
                    orderedVersion(service.name),
                )
                .filter { schedule.isDue(it, runningCount(it), now) }
                .forEach { send(it, fencing, now) }
        }
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
        val sent = schedule.onSent(order, now)
        duties.orderUpstreams(self, fencing, order) { outcome ->
            sent.onOutcome(outcome)
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
}
