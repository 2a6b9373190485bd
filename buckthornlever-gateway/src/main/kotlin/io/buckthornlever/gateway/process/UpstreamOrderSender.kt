package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.ServedService
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.UpstreamOrder
import io.buckthornlever.core.serving.CapacityPlan
import io.buckthornlever.core.serving.DemandMeter
import io.buckthornlever.core.serving.EngineDemand
import io.buckthornlever.core.serving.OrderedVersion
import io.buckthornlever.core.serving.UpstreamBalancer
import io.buckthornlever.core.serving.UpstreamOrderSchedule

/**
 * Sends the upstream orders of the capacity plans to the platform while this instance holds the duty lease.
 *
 * @param orderedVersion version that an operator has ordered a service to move to, null if there is none
 * @param liveInstances names of the other instances that are alive
 */
internal class UpstreamOrderSender(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val duties: SingletonDuties,
    private val balancer: UpstreamBalancer,
    private val demand: DemandMeter,
    private val orderedVersion: (service: String) -> OrderedVersion?,
    private val log: EventLog,
    private val onSuperseded: (Long) -> Unit,
    private val liveInstances: () -> Set<String>,
) {
    private val learnsCapacity = settings.isEnabled(Feature.LEARNED_CAPACITY)
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
            plan.engineDemand = if (learnsCapacity) engineDemand(table, service, tokensPerSecond, now) else null
            plan
                .orders(
                    limits,
                    settings.domains,
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

    /**
     * What the number of engines of [service] follows; null if its upstreams are none or state no load, if no account has a quota, or if
     * its routes do not differ in priority, as for the overload level. Services of few engines are ordered as before.
     */
    private fun engineDemand(
        table: ServingTable,
        service: ServedService,
        tokensPerSecond: Double,
        now: Long,
    ): EngineDemand? {
        if (!service.engine || table.accounts.none { it.ratePerSecond > 0 }) return null
        if ((service.scaling?.maximum ?: 0) < MIN_MAXIMUM) return null
        val upstreams = balancer.upstreams.filter { it.upstream.service == service.name }
        if (upstreams.none { it.figureAge(now) != null }) return null
        val routes = table.routes.filter { route -> route.services.any { it.service == service.name } }
        if (routes.distinctBy { it.priority }.size < 2) return null
        val mostUrgent = routes.minOf { it.priority }
        val target = routes.filter { it.priority == mostUrgent }.minOf { it.targetLatency }
        return EngineDemand(
            tokensPerSecond * balancer.readShare(service.name),
            balancer.tokensPerSecond(service.name),
            balancer.serviceLoad(service.name, now),
            target.dividedBy(BEARABLE_DIVISOR),
            demand.hasHeardFrom(liveInstances(), now),
        )
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
        val basis = plans[order.service]?.engineDemand
        duties.orderUpstreams(settings.instance, fencing, order) { outcome ->
            sent.onOutcome(outcome)
            log.write(
                GatewayEvent.UPSTREAMS_ORDERED,
                "service" to order.service,
                "domain" to order.domain,
                "count" to order.count,
                "reclaimable" to order.reclaimable,
                "fencing" to fencing,
                "outcome" to outcome,
                "tokensPerSecond" to basis?.tokensPerSecond?.toLong(),
                "engineTokensPerSecond" to basis?.engineTokensPerSecond?.toLong(),
                "waitMillis" to basis?.load?.meanWait?.toMillis(),
                "complete" to basis?.isComplete,
            )
            if (outcome != DutyOutcome.CONFLICT) return@orderUpstreams
            // For reclaimable upstreams a conflict may also mean that none are available at the moment.
            if (order.reclaimable) plans[order.service]?.onReclaimableRefused(clock.monotonicNanos()) else onSuperseded(fencing)
        }
    }

    private companion object {
        /**
         * Smallest maximum of engines in a failure domain for which the learned plan applies. One engine is a large part of a smaller
         * service, and what is ordered there does not change.
         */
        const val MIN_MAXIMUM = 12

        /** The rest of the target latency is for the prompt itself and for the way to the caller. */
        const val BEARABLE_DIVISOR = 2L
    }
}
