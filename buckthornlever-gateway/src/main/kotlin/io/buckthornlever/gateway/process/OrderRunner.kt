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
 * Sends the orders of the capacity plans while this instance holds the duty lease. An order states a count, so that it may be
 * repeated; it is sent when the plan changes and again when the wanted upstreams do not appear.
 */
internal class OrderRunner(
    private val self: String,
    private val domains: List<FailureDomain>,
    private val clock: Clock,
    private val duties: SingletonDuties,
    private val board: UpstreamBalancer,
    private val demand: DemandMeter,
    private val log: EventLog,
    private val onFenced: (Long) -> Unit,
) {
    private val plans = HashMap<String, CapacityPlan>()
    private val sent = HashMap<Subject, Sent>()
    private var actingAs = Long.MIN_VALUE

    fun tick(
        table: ServingTable,
        fencing: Long,
    ) {
        if (fencing != actingAs) {
            // Orders of an earlier holder are not known here.
            sent.clear()
            plans.clear()
            actingAs = fencing
        }
        val now = clock.monotonicNanos()
        for (service in table.services) {
            val limits = service.scaling ?: continue
            val plan = plans.getOrPut(service.name) { CapacityPlan(service.name) }
            plan
                .orders(limits, domains, board.upstreams.toList(), demand.tokensPerSecond(service.name, now), now, board.evacuated)
                .filter { isDue(it, now) }
                .forEach { send(it, fencing, now) }
        }
    }

    private fun isDue(
        order: UpstreamOrder,
        now: Long,
    ): Boolean {
        val last = sent[Subject(order)] ?: return true
        if (last.inFlight) return false
        val since = Duration.ofNanos(now - last.atNanos)
        if (last.outcome != DutyOutcome.ACCEPTED) return since >= AGAIN_AFTER_REFUSAL
        if (last.count != order.count) return since >= AGAIN_AFTER_CHANGE
        return running(order) != order.count && since >= AGAIN_WHEN_MISSING
    }

    private fun running(order: UpstreamOrder): Int =
        board.upstreams.count {
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
        val entry = Sent(order.count, now)
        sent[Subject(order)] = entry
        duties.orderUpstreams(self, fencing, order) { outcome ->
            entry.inFlight = false
            entry.outcome = outcome
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
            // A conflict over reclaimable upstreams may also mean that there are none at the moment.
            if (order.reclaimable) plans[order.service]?.onReclaimableRefused(clock.monotonicNanos()) else onFenced(fencing)
        }
    }

    private data class Subject(
        val service: String,
        val domain: FailureDomain,
        val reclaimable: Boolean,
    ) {
        constructor(order: UpstreamOrder) : this(order.service, order.domain, order.reclaimable)
    }

    private class Sent(
        val count: Int,
        val atNanos: Long,
    ) {
        var inFlight = true
        var outcome = DutyOutcome.UNKNOWN
    }

    private companion object {
        /** Longer than a lease, so that a refused holder notices that it has been replaced. */
        val AGAIN_AFTER_REFUSAL: Duration = Duration.ofMillis(3_500)

        /** Keeps a wavering plan from sending more than one order a second for one subject. */
        val AGAIN_AFTER_CHANGE: Duration = Duration.ofSeconds(1)

        /** Longer than a start with its cold phase, and than an order that is carried out late. */
        val AGAIN_WHEN_MISSING: Duration = Duration.ofSeconds(8)
    }
}
