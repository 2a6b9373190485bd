package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.ScalingLimits
import io.buckthornlever.api.serving.UpstreamOrder
import kotlin.math.ceil

/**
 * Decides how many upstreams of one service should run in each failure domain.
 *
 * Reclaimable upstreams carry the load, as many that those of one failure domain can be taken away at once. After a reclaim the
 * platform may have no others anywhere for some time; on-demand upstreams then make up for what is missing, and for what one
 * more such loss would leave short of the least that serves. Some on-demand upstreams always run, since all reclaimable ones may
 * go while orders cannot be given. Without reclaimable upstreams, on-demand ones carry all. Not thread-safe.
 */
public class CapacityPlan(
    private val service: String,
) {
    private var planned = 0
    private var planFrom = Long.MIN_VALUE
    private var shrinkAfter = Long.MIN_VALUE
    private var onDemand = 0
    private var onDemandUntil = Long.MIN_VALUE
    private var dryUntil = Long.MIN_VALUE
    private val settled = HashSet<FailureDomain>()

    /** The platform had no reclaimable upstreams to give. */
    public fun onReclaimableRefused(nanos: Long) {
        dryUntil = nanos + DRY_NANOS
    }

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
        val spread = maxOf(1, open.size - 1)
        val always = ceil(needed * ON_DEMAND_PART).toInt()
        val reclaimable = ceil((needed - always).toDouble() / spread).toInt().coerceIn(1, maxOf(1, limits.maximum))
        val extra = onDemand(needed, open.map { fleet.getValue(it) }, nanos)
        val shares = divide(maxOf(always, extra), open.sortedBy { limits.domainPrices[it] ?: 1.0 })
        return fleet.flatMap { (domain, here) ->
            val wantedReclaimable = if (domain in open) reclaimable else here.reclaimable
            val floor = if (here.reclaimable == 0) limits.minimum else 0
            // Beside the on-demand upstreams of the start the limits may leave room for fewer.
            if (here.warmReclaimable >= minOf(wantedReclaimable, limits.maximum - here.onDemand)) settled.add(domain)
            // The first orders must not take away what serves before the reclaimable upstreams are warm.
            val keep = if (domain in settled) 0 else here.onDemand
            val wantedOnDemand = maxOf(shares[domain] ?: 0, floor, keep).coerceAtMost(limits.maximum - here.reclaimable)
            listOf(
                order(domain, wantedOnDemand, false),
                order(domain, minOf(wantedReclaimable, limits.maximum - wantedOnDemand), true),
            )
        }
    }

    /** On-demand upstreams over all domains: for what is missing now, and for the loss of the largest group of reclaimable ones. */
    private fun onDemand(
        needed: Int,
        fleets: List<Fleet>,
        nanos: Long,
    ): Int {
        val reclaimable = fleets.sumOf { it.reclaimable }
        val sure = reclaimable - fleets.maxOf { it.reclaimable }
        val least = ceil(needed * LEAST_PART).toInt()
        // Reclaimable upstreams that can be had start as fast as on-demand ones.
        val missing = if (nanos < dryUntil) maxOf(0, needed - reclaimable, least - sure) else 0
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

        /** Part of the needed upstreams that is never reclaimable: with it most requests are served, though later. */
        const val ON_DEMAND_PART = 1.0 / 3

        /** Part of the usual number of upstreams with which requests are still served, though later. */
        const val LEAST_PART = 0.6

        /** Time for which a refusal of reclaimable upstreams is believed; orders are repeated more often than that. */
        const val DRY_NANOS = 5_000_000_000L

        /** Time for which on-demand upstreams stay once nothing is missing: a start and the cold phase of a reclaimable one. */
        const val EXTRA_NANOS = 7_000_000_000L

        /** Time after the first upstream was seen in which the others register. */
        const val SETTLE_NANOS = 2_500_000_000L

        /** Time for which less demand has to last before upstreams are given up; a start and a cold phase cost several seconds. */
        const val HOLD_NANOS = 20_000_000_000L
    }
}
