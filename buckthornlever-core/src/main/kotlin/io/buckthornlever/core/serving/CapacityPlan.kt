package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.ScalingLimits
import io.buckthornlever.api.serving.UpstreamOrder
import kotlin.math.ceil

/**
 * Decides how many upstreams of one service should run in each failure domain.
 *
 * Reclaimable upstreams carry the load, as many that those of one failure domain can be taken away at once. On-demand upstreams
 * make up for what a further such loss would leave short, so that they run only between a reclaim and the start of the
 * replacements elsewhere. Without reclaimable upstreams, on-demand ones carry all. Not thread-safe.
 */
public class CapacityPlan(
    private val service: String,
) {
    private var planned = 0
    private var planFrom = Long.MIN_VALUE
    private var shrinkAfter = Long.MIN_VALUE
    private var onDemand = 0
    private var onDemandUntil = Long.MIN_VALUE
    private val offered = HashSet<FailureDomain>()

    /**
     * Wanted counts by failure domain and kind; empty while no upstream of the service is known.
     *
     * @param evacuated failure domains whose upstreams get no requests
     */
    public fun orders(
        limits: ScalingLimits,
        domains: List<FailureDomain>,
        upstreams: List<UpstreamEntry>,
        tokensPerSecond: Double,
        nanos: Long,
        evacuated: Set<FailureDomain> = emptySet(),
    ): List<UpstreamOrder> {
        val present = upstreams.filter { it.upstream.service == service && !it.upstream.leaving }
        if (present.isEmpty() || domains.isEmpty()) return emptyList()
        if (planFrom == Long.MIN_VALUE) planFrom = nanos + SETTLE_NANOS
        if (nanos < planFrom) return emptyList()
        val needed = needed(present.size, tokensPerSecond, nanos)
        val open = domains.filter { it !in evacuated }.ifEmpty { domains }
        if (limits.reclaimablePrice == null) return onDemandOnly(limits, domains, open, needed, present)
        val fleet = domains.associateWith { domain -> Fleet(present.filter { it.upstream.domain == domain }, nanos) }
        return mixed(limits, fleet, open, needed, nanos)
    }

    private fun onDemandOnly(
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

    private fun mixed(
        limits: ScalingLimits,
        fleet: Map<FailureDomain, Fleet>,
        open: List<FailureDomain>,
        needed: Int,
        nanos: Long,
    ): List<UpstreamOrder> {
        val sources = open.filterNot { fleet.getValue(it).isDry(it) }.ifEmpty { open }
        val spare = maxOf(1, sources.size - 1)
        val reclaimable = ceil(needed.toDouble() / spare).toInt().coerceIn(1, maxOf(1, limits.maximum))
        val extra = onDemand(needed, open.map { fleet.getValue(it) }, nanos)
        val dry = open.filter { it !in sources }
        val shares = divide(extra, dry.ifEmpty { open }.sortedBy { limits.domainPrices[it] ?: 1.0 })
        return fleet.flatMap { (domain, here) ->
            val wantedReclaimable = if (domain in open) reclaimable else here.reclaimable
            val floor = if (here.reclaimable == 0) limits.minimum else 0
            // The first orders must not take away what serves before the reclaimable upstreams are warm.
            val keep = if (here.warmReclaimable < wantedReclaimable && domain !in offered) here.onDemand else 0
            if (here.warmReclaimable >= wantedReclaimable) offered.add(domain)
            val wantedOnDemand = maxOf(shares[domain] ?: 0, floor, keep).coerceAtMost(limits.maximum)
            // Both kinds together are limited; where reclaimable upstreams are to be had they come first.
            val most = if (here.reclaimable == 0) limits.maximum - wantedOnDemand else limits.maximum
            val reclaimableHere = minOf(wantedReclaimable, most)
            listOf(
                order(domain, minOf(wantedOnDemand, limits.maximum - reclaimableHere), false),
                order(domain, reclaimableHere, true),
            )
        }
    }

    /** A domain that has had reclaimable upstreams and has none now offers none for some time. */
    private fun Fleet.isDry(domain: FailureDomain): Boolean = domain in offered && reclaimable == 0

    /** On-demand upstreams over all domains that cover the loss of the largest group of reclaimable ones. */
    private fun onDemand(
        needed: Int,
        fleets: List<Fleet>,
        nanos: Long,
    ): Int {
        val sure = fleets.sumOf { it.reclaimable } - fleets.maxOf { it.reclaimable }
        val missing = maxOf(0, needed - sure)
        if (missing >= onDemand || nanos > onDemandUntil) {
            if (missing > 0) onDemandUntil = nanos + EXTRA_NANOS
            onDemand = missing
        }
        return onDemand
    }

    private fun divide(
        total: Int,
        domains: List<FailureDomain>,
    ): Map<FailureDomain, Int> =
        domains
            .withIndex()
            .associate { (index, domain) -> domain to (total + domains.size - 1 - index) / domains.size }

    private fun needed(
        running: Int,
        tokensPerSecond: Double,
        nanos: Long,
    ): Int {
        val wanted = ceil(tokensPerSecond / TOKENS_PER_UPSTREAM).toInt()
        if (planned == 0) {
            planned = running
            shrinkAfter = nanos + HOLD_NANOS
        }
        if (wanted >= planned) {
            planned = wanted
            shrinkAfter = nanos + HOLD_NANOS
        } else if (nanos > shrinkAfter) {
            planned = maxOf(1, wanted)
            shrinkAfter = nanos + HOLD_NANOS
        }
        return planned
    }

    private fun order(
        domain: FailureDomain,
        count: Int,
        reclaimable: Boolean,
    ): UpstreamOrder = UpstreamOrder(service, domain, count, reclaimable)

    /** Upstreams of one failure domain that have not announced their end. */
    private class Fleet(
        present: List<UpstreamEntry>,
        nanos: Long,
    ) {
        val reclaimable = present.count { it.upstream.reclaimable }
        val warmReclaimable = present.count { it.upstream.reclaimable && !it.isCold(nanos) }
        val onDemand = present.size - reclaimable
    }

    private companion object {
        /**
         * Prompt tokens per second at which one engine starts answers in time: under half of what it reads when it does nothing
         * else, since it also generates and the largest prompts must not wait behind each other.
         */
        const val TOKENS_PER_UPSTREAM = 30_000.0

        /** Time for which on-demand upstreams stay; the platform has reclaimable upstreams again after about this time. */
        const val EXTRA_NANOS = 10_000_000_000L

        /** Time after the first upstream was seen in which the others register. */
        const val SETTLE_NANOS = 1_500_000_000L

        /** Time for which less demand has to last before upstreams are given up; a start and a cold phase cost several seconds. */
        const val HOLD_NANOS = 20_000_000_000L
    }
}
