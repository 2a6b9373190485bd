package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.ScalingLimits
import io.buckthornlever.api.serving.UpstreamOrder
import kotlin.math.ceil

/**
 * Decides how many upstreams of one service should run in each failure domain.
 *
 * The on-demand part is the floor that stays when reclaimable upstreams of whole failure domains are taken back; the
 * reclaimable part carries the usual load at a lower price. On-demand upstreams are given up only once reclaimable ones are
 * warm, and added where a reclaim leaves less than the demand needs. Not thread-safe.
 */
public class CapacityPlan(
    private val service: String,
) {
    private var planned = 0
    private var shrinkAfter = Long.MIN_VALUE
    private var extra = 0
    private var extraUntil = Long.MIN_VALUE

    /** Wanted counts by failure domain and kind; empty while no upstream of the service is known. */
    public fun orders(
        limits: ScalingLimits,
        domains: List<FailureDomain>,
        upstreams: List<UpstreamEntry>,
        tokensPerSecond: Double,
        nanos: Long,
    ): List<UpstreamOrder> {
        val serving = upstreams.filter { it.upstream.service == service && !it.upstream.leaving }
        if (serving.isEmpty() || domains.isEmpty()) return emptyList()
        val needed = needed(serving.size, tokensPerSecond, nanos)
        val perDomain = ceil(needed.toDouble() / domains.size).toInt()
        val floor = maxOf(limits.minimum, ceil(perDomain * ON_DEMAND_PART).toInt())
        if (limits.reclaimablePrice == null) return domains.map { order(it, maxOf(floor, perDomain).coerceAtMost(limits.maximum), false) }
        val reclaimable = minOf(perDomain, limits.maximum - floor)
        val warm = serving.filter { !it.isCold(nanos) }
        updateExtra(needed, warm.size, nanos)
        val cheapest = domains.sortedBy { limits.domainPrices[it] ?: 1.0 }
        return domains.flatMap { domain ->
            val here = warm.filter { it.upstream.domain == domain }
            val onDemandHere = here.count { !it.upstream.reclaimable }
            val more = (extra + cheapest.size - 1 - cheapest.indexOf(domain)) / cheapest.size
            val target = floor + more
            // The first order of a kind that has never run here must not take away what serves now.
            val mayShrink = here.count { it.upstream.reclaimable } >= reclaimable
            val onDemand = if (mayShrink || onDemandHere < target) target else onDemandHere
            listOf(
                order(domain, onDemand.coerceIn(limits.minimum, limits.maximum - reclaimable), false),
                order(domain, reclaimable, true),
            )
        }
    }

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

    private fun updateExtra(
        needed: Int,
        warm: Int,
        nanos: Long,
    ) {
        val missing = needed - warm
        if (missing > 0) {
            extra = maxOf(extra, missing)
            extraUntil = nanos + HOLD_NANOS
        } else if (nanos > extraUntil) {
            extra = 0
        }
    }

    private fun order(
        domain: FailureDomain,
        count: Int,
        reclaimable: Boolean,
    ): UpstreamOrder = UpstreamOrder(service, domain, count, reclaimable)

    private companion object {
        /** Prompt tokens per second that one engine serves with first tokens in time, with a part of the prompts cached. */
        const val TOKENS_PER_UPSTREAM = 40_000.0

        /** Part of the needed upstreams that is not reclaimable. */
        const val ON_DEMAND_PART = 0.34

        /** Time for which less demand has to last before upstreams are given up; a start and a cold phase cost several seconds. */
        const val HOLD_NANOS = 20_000_000_000L
    }
}
