package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.ScalingLimits
import io.buckthornlever.api.serving.UpstreamOrder
import kotlin.math.ceil

/**
 * Decides how many upstreams of one service should run in each failure domain.
 *
 * Reclaimable upstreams carry the load; there are enough of them to lose those of one failure domain at once. After a reclaim the
 * platform may have no reclaimable upstreams in any failure domain for some time. On-demand upstreams then replace the missing
 * ones and keep the service above its degraded minimum should one more failure domain be reclaimed. Some on-demand upstreams always
 * run, since all reclaimable ones may be taken away while no orders can be placed. Where the platform offers no reclaimable
 * upstreams, on-demand ones carry the whole load.
 *
 * Where [engineDemand] is set, it decides on the number, see [EngineNeed], and few upstreams are on-demand if the reclaimable ones
 * are spread over several failure domains. What runs is then kept until the demand of all instances is known. Not thread-safe.
 */
public class CapacityPlan(
    private val service: String,
) {
    private var plannedCount = 0
    private var scaleDownAfter = Long.MIN_VALUE
    private var extraOnDemand = 0
    private var extraOnDemandUntil = Long.MIN_VALUE
    private var reclaimableUnavailableUntil = Long.MIN_VALUE
    private var ordered: OrderedVersion? = null
    private var orderedSince = Long.MIN_VALUE
    private val warmedUpDomains = HashSet<FailureDomain>()
    private val engineNeed = EngineNeed()
    private var keepsRunningUntil: Long? = null
    private var lastTotal = 0

    /** What decides on the number of upstreams instead of the prompt tokens requested; null where it is not known. */
    public var engineDemand: EngineDemand? = null

    /** Records that the platform had no reclaimable upstreams available. */
    public fun onReclaimableRefused(nanos: Long) {
        reclaimableUnavailableUntil = nanos + RECLAIMABLE_UNAVAILABLE_NANOS
    }

    /**
     * Returns the wanted counts by failure domain and kind; empty while no upstream of the service is known, and until
     * [REGISTRATION_NANOS] after this instance has seen the first one.
     *
     * @param tokensPerSecond recent demand in prompt tokens per second
     * @param evacuated failure domains whose upstreams get no requests
     * @param ordered version that an operator has ordered; until it has replaced the others, its upstreams run beside those that carry
     * the load and must not be stopped in exchange for them
     */
    public fun orders(
        limits: ScalingLimits,
        domains: List<FailureDomain>,
        upstreams: List<UpstreamEntry>,
        tokensPerSecond: Double,
        nanos: Long,
        evacuated: Set<FailureDomain> = emptySet(),
        ordered: OrderedVersion? = null,
    ): List<UpstreamOrder> {
        updateOrdered(ordered, nanos)
        val running = upstreams.filter { it.upstream.service == service && !it.upstream.leaving }
        if (ordered == null) return plan(limits, domains, upstreams, running, tokensPerSecond, nanos, evacuated)
        if (ordered.hasReplacedOthers) {
            val left = running.filterNot { isBeingReplaced(it, ordered, nanos) }
            return plan(limits, domains, upstreams, left, tokensPerSecond, nanos, evacuated)
        }
        // Those that have not registered yet would be stopped by an order that does not count them.
        if (nanos < orderedSince + REGISTRATION_NANOS) return emptyList()
        val carrying = running.filter { it.upstream.version != ordered.version }.ifEmpty { running }
        val planned = plan(limits, domains, upstreams, carrying, tokensPerSecond, nanos, evacuated)
        val trial = running - carrying.toSet()
        return if (trial.isEmpty()) planned else planned.mapNotNull { besideTrial(it, limits, running, trial) }
    }

    private fun updateOrdered(
        current: OrderedVersion?,
        nanos: Long,
    ) {
        if (current == ordered) return
        ordered = current
        orderedSince = nanos
        // The upstreams that have become warm in these domains are being replaced.
        if (current?.hasReplacedOthers == true) warmedUpDomains.clear()
    }

    /** True for an upstream that the platform has stopped although it is still registered. */
    private fun isBeingReplaced(
        entry: UpstreamEntry,
        ordered: OrderedVersion,
        nanos: Long,
    ): Boolean =
        entry.upstream.version != ordered.version && entry.firstSeenNanos < orderedSince && nanos < orderedSince + UNREGISTRATION_NANOS

    /** Adds the [trial] upstreams to [order], which counts all upstreams; null if the platform's limit leaves no room for both. */
    private fun besideTrial(
        order: UpstreamOrder,
        limits: ScalingLimits,
        running: List<UpstreamEntry>,
        trial: List<UpstreamEntry>,
    ): UpstreamOrder? {
        val here = trial.filter { it.upstream.domain == order.domain }
        if (here.isEmpty()) return order
        val count = order.count + here.count { it.upstream.reclaimable == order.reclaimable }
        val otherKind = running.count { it.upstream.domain == order.domain && it.upstream.reclaimable != order.reclaimable }
        return if (count + otherKind <= limits.maximum) order.copy(count = count) else null
    }

    private fun plan(
        limits: ScalingLimits,
        domains: List<FailureDomain>,
        upstreams: List<UpstreamEntry>,
        present: List<UpstreamEntry>,
        tokensPerSecond: Double,
        nanos: Long,
        evacuated: Set<FailureDomain>,
    ): List<UpstreamOrder> {
        if (present.isEmpty() || domains.isEmpty()) return emptyList()
        if (nanos < upstreams.filter { it.upstream.service == service }.minOf { it.firstSeenNanos } + REGISTRATION_NANOS) return emptyList()
        val open = domains.filter { it !in evacuated }.ifEmpty { domains }
        val demand = engineDemand
        val needed =
            if (demand == null) {
                neededUpstreams(present.size, tokensPerSecond, nanos)
            } else {
                engineNeed.update(demand, covered(present, open), present.size >= lastTotal * ARRIVED_SHARE, nanos)
            }
        val byDomain = domains.associateWith { domain -> DomainUpstreams(present.filter { it.upstream.domain == domain }, nanos) }
        val planned =
            if (limits.reclaimablePrice == null) {
                onDemandOnlyOrders(limits, domains, open, needed, present)
            } else {
                mixedOrders(limits, byDomain, open, needed, onDemandFraction(open), nanos)
            }
        val keepsRunning = demand != null && keepsRunning(demand, nanos)
        val orders = if (keepsRunning) planned.map { it.atLeastRunning(byDomain, limits) } else planned
        lastTotal = orders.sumOf { it.count }
        return orders
    }

    /** Need for which [present] would be ordered. */
    private fun covered(
        present: List<UpstreamEntry>,
        open: List<FailureDomain>,
    ): Double {
        val reclaimable = present.count { it.upstream.reclaimable }
        return present.size - reclaimable + reclaimable * maxOf(1.0, open.size - 1.0) / maxOf(1, open.size)
    }

    /** True for some time after the first plan, which may not rest on all of the demand yet, and while some demand is not known. */
    private fun keepsRunning(
        demand: EngineDemand,
        nanos: Long,
    ): Boolean {
        val until = keepsRunningUntil ?: (nanos + GATHERING_NANOS).also { keepsRunningUntil = it }
        return nanos < until || !demand.isComplete
    }

    private fun UpstreamOrder.atLeastRunning(
        byDomain: Map<FailureDomain, DomainUpstreams>,
        limits: ScalingLimits,
    ): UpstreamOrder {
        val here = byDomain.getValue(domain)
        val running = if (reclaimable) here.reclaimable else here.onDemand
        val room = if (reclaimable) limits.maximum - here.onDemand else limits.maximum
        return copy(count = maxOf(minOf(count, room), minOf(running, limits.maximum)))
    }

    /** A failure domain that loses its reclaimable upstreams is replaced by those of the others, unless there are none. */
    private fun onDemandFraction(open: List<FailureDomain>): Double =
        if (engineDemand != null && open.size > 1) SPREAD_ON_DEMAND_FRACTION else ON_DEMAND_FRACTION

    private fun onDemandOnlyOrders(
        limits: ScalingLimits,
        domains: List<FailureDomain>,
        open: List<FailureDomain>,
        needed: Int,
        present: List<UpstreamEntry>,
    ): List<UpstreamOrder> {
        val each = ceil(needed.toDouble() / open.size).toInt()
        return domains.map { domain ->
            val wanted = if (domain in open) each else present.count { it.upstream.domain == domain }
            order(domain, wanted.coerceIn(limits.minimum, limits.maximum), false)
        }
    }

    private fun mixedOrders(
        limits: ScalingLimits,
        byDomain: Map<FailureDomain, DomainUpstreams>,
        open: List<FailureDomain>,
        needed: Int,
        onDemandFraction: Double,
        nanos: Long,
    ): List<UpstreamOrder> {
        val remainingDomains = maxOf(1, open.size - 1)
        val permanent = ceil(needed * onDemandFraction).toInt()
        val reclaimable = ceil((needed - permanent).toDouble() / remainingDomains).toInt().coerceIn(1, maxOf(1, limits.maximum))
        val extra = updateExtraOnDemand(needed, open.map { byDomain.getValue(it) }, nanos)
        val shares = distribute(maxOf(permanent, extra), open.sortedBy { limits.domainPrices[it] ?: 1.0 })
        return byDomain.flatMap { (domain, here) ->
            val wantedReclaimable = if (domain in open) reclaimable else here.reclaimable
            val floor = if (here.reclaimable == 0) limits.minimum else 0
            // On-demand upstreams from before the first order may leave room for fewer reclaimable ones within the limit.
            if (here.warmReclaimable >= minOf(wantedReclaimable, limits.maximum - here.onDemand)) warmedUpDomains.add(domain)
            // The first orders must not stop running on-demand upstreams before the reclaimable ones are warm.
            val keep = if (domain in warmedUpDomains) 0 else here.onDemand
            val wantedOnDemand = maxOf(shares[domain] ?: 0, floor, keep).coerceAtMost(limits.maximum - here.reclaimable)
            listOf(
                order(domain, wantedOnDemand, false),
                order(domain, minOf(wantedReclaimable, limits.maximum - wantedOnDemand), true),
            )
        }
    }

    /**
     * Updates and returns the on-demand upstreams wanted over all [domains] while reclaimable ones are unavailable: enough to replace
     * the missing ones, and to survive the loss of the domain with the most reclaimable ones.
     */
    private fun updateExtraOnDemand(
        needed: Int,
        domains: List<DomainUpstreams>,
        nanos: Long,
    ): Int {
        val reclaimable = domains.sumOf { it.reclaimable }
        val afterLargestLoss = reclaimable - domains.maxOf { it.reclaimable }
        val degradedMinimum = ceil(needed * DEGRADED_FRACTION).toInt()
        // While reclaimable upstreams are available, they start as fast as on-demand ones and need no replacement.
        val missing = if (nanos < reclaimableUnavailableUntil) maxOf(0, needed - reclaimable, degradedMinimum - afterLargestLoss) else 0
        if (missing >= extraOnDemand || nanos > extraOnDemandUntil) {
            if (missing > 0) extraOnDemandUntil = nanos + EXTRA_ON_DEMAND_NANOS
            extraOnDemand = missing
        }
        return extraOnDemand
    }

    private fun distribute(
        total: Int,
        domains: List<FailureDomain>,
    ): Map<FailureDomain, Int> =
        domains
            .withIndex()
            .associate { (index, domain) -> domain to (total + domains.size - 1 - index) / domains.size }

    private fun neededUpstreams(
        running: Int,
        tokensPerSecond: Double,
        nanos: Long,
    ): Int {
        val wanted = ceil(tokensPerSecond / TOKENS_PER_UPSTREAM).toInt()
        if (plannedCount == 0) {
            plannedCount = running
            scaleDownAfter = nanos + SCALE_DOWN_DELAY_NANOS
        }
        if (wanted >= plannedCount) {
            plannedCount = wanted
            scaleDownAfter = nanos + SCALE_DOWN_DELAY_NANOS
        } else if (nanos > scaleDownAfter) {
            plannedCount = maxOf(1, wanted)
            scaleDownAfter = nanos + SCALE_DOWN_DELAY_NANOS
        }
        return plannedCount
    }

    private fun order(
        domain: FailureDomain,
        count: Int,
        reclaimable: Boolean,
    ): UpstreamOrder = UpstreamOrder(service, domain, count, reclaimable)

    /** Counts the upstreams of one failure domain that have not announced that they leave. */
    private class DomainUpstreams(
        present: List<UpstreamEntry>,
        nanos: Long,
    ) {
        val reclaimable = present.count { it.upstream.reclaimable }
        val warmReclaimable = present.count { it.upstream.reclaimable && !it.isCold(nanos) }
        val onDemand = present.size - reclaimable
    }

    private companion object {
        /**
         * Prompt tokens per second that one engine can take and still start its responses in time. Less than half of what an
         * otherwise idle engine reads, since it also generates tokens and the largest prompts must not queue behind each other.
         */
        const val TOKENS_PER_UPSTREAM = 30_000.0

        /** Fraction of the needed upstreams that is always on-demand; it can serve most requests, with higher latency. */
        const val ON_DEMAND_FRACTION = 1.0 / 3

        /** Likewise where several failure domains have reclaimable upstreams; covers the order of on-demand ones should two lose them. */
        const val SPREAD_ON_DEMAND_FRACTION = 0.1

        /** Fraction of the needed upstreams that still serves the requests, with higher latency. */
        const val DEGRADED_FRACTION = 0.6

        /** Time for which reclaimable upstreams count as unavailable after a refusal; orders are repeated at shorter intervals. */
        const val RECLAIMABLE_UNAVAILABLE_NANOS = 5_000_000_000L

        /** Time for which extra on-demand upstreams are kept once nothing is missing: the start and cold phase of a reclaimable one. */
        const val EXTRA_ON_DEMAND_NANOS = 7_000_000_000L

        /** An ordered upstream that never appears must not keep the wait from counting. */
        const val ARRIVED_SHARE = 0.9

        /** Time in which a new lease holder hears the demand of all instances: their messages and one window of the demand. */
        const val GATHERING_NANOS = 8_000_000_000L

        /** Time for the other upstreams to register after the first one was seen. */
        const val REGISTRATION_NANOS = 2_500_000_000L

        /** Time within which the registrations of upstreams that the platform has stopped are gone. */
        const val UNREGISTRATION_NANOS = 30_000_000_000L

        /** Time for which demand has to stay lower before upstreams are stopped; a start and a cold phase take several seconds. */
        const val SCALE_DOWN_DELAY_NANOS = 20_000_000_000L
    }
}
