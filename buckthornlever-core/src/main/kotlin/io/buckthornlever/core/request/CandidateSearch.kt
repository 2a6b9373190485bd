package io.buckthornlever.core.request

import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.core.process.ColdStartShares
import io.buckthornlever.core.process.UpstreamRuntime
import io.buckthornlever.core.process.UpstreamState

/**
 * Searches the few candidates of a key in the tiers of one or more version groups.
 *
 * The first candidate in rendezvous order within the load bound is suitable; the tiers are visited from the cheapest on. If
 * there is none, [fallback] is the one with the least load.
 */
internal class CandidateSearch(
    private val shares: ColdStartShares,
    private val directory: CacheDirectory,
    private val trace: DecisionTrace,
) {
    private val candidates = Candidates()
    private var least: UpstreamRuntime? = null
    private var leastUtilisation = Double.MAX_VALUE

    /** True while requests wait; room is then divided among the instances instead of being open to the first. */
    var contended: Boolean = false

    /** Upstream that can take the request, although it is above the bound. */
    val fallback: UpstreamRuntime? get() = least

    /** Suspect upstream that can take the request if no healthy one can. */
    var lastResort: UpstreamRuntime? = null
        private set

    /** True when some candidate is full only now. */
    var sawBusy: Boolean = false
        private set

    fun clear() {
        clearFallback()
        lastResort = null
        sawBusy = false
    }

    fun clearFallback() {
        least = null
        leastUtilisation = Double.MAX_VALUE
    }

    /** The most suitable upstream of [group] below the target, or null. */
    fun search(
        group: VersionGroup,
        key: Long,
        request: RoutingRequest,
        nanos: Long,
    ): UpstreamRuntime? {
        for (i in group.tiers.indices) {
            val tier = group.tiers[i]
            tier.candidates(key, candidates)
            val bound = bound(tier, request.route.workClass, i == group.tiers.lastIndex)
            val found = suitable(bound, key, request, nanos)
            if (found != null) return found
        }
        return null
    }

    private fun suitable(
        bound: Double,
        key: Long,
        request: RoutingRequest,
        nanos: Long,
    ): UpstreamRuntime? {
        val hasPrefix = request.prefix.isNotEmpty()
        val holder = if (hasPrefix) directory.holder(key) else null
        var best: UpstreamRuntime? = null
        for (i in 0 until candidates.size) {
            val candidate = candidates[i]
            val refusal = refusal(candidate, request, nanos)
            if (refusal != null) {
                refused(candidate, refusal, request, nanos)
                continue
            }
            if (!isWithin(candidate, bound)) {
                trace.record(candidate, Verdict.ABOVE_TARGET)
                offerFallback(candidate)
                continue
            }
            trace.record(candidate, Verdict.LESS_SUITABLE)
            val current = best
            best =
                when {
                    current == null || candidate === holder -> candidate
                    current === holder || hasPrefix -> current
                    else -> if (utilisation(candidate) < utilisation(current)) candidate else current
                }
        }
        return best
    }

    private fun refused(
        candidate: UpstreamRuntime,
        refusal: Verdict,
        request: RoutingRequest,
        nanos: Long,
    ) {
        trace.record(candidate, refusal)
        when (refusal) {
            Verdict.COLD_LIMIT, Verdict.CONCURRENCY_LIMIT, Verdict.FULL -> sawBusy = true
            Verdict.SUSPECT -> offerLastResort(candidate, request, nanos)
            else -> Unit
        }
    }

    private fun refusal(
        candidate: UpstreamRuntime,
        request: RoutingRequest,
        nanos: Long,
    ): Verdict? {
        if (wasTried(candidate, request)) return Verdict.ALREADY_TRIED
        return when (candidate.state) {
            UpstreamState.LEAVING -> Verdict.LEAVING
            UpstreamState.DOWN -> Verdict.DOWN
            UpstreamState.SUSPECT -> Verdict.SUSPECT
            UpstreamState.COLD -> if (hasRoom(candidate, request.route.workClass, nanos)) null else Verdict.COLD_LIMIT
            UpstreamState.HEALTHY -> fullness(candidate, request.route.workClass, nanos)
        }
    }

    private fun fullness(
        candidate: UpstreamRuntime,
        work: WorkClass,
        nanos: Long,
    ): Verdict? =
        when {
            candidate.inFlight >= candidate.ownLimit(shares, nanos) -> Verdict.CONCURRENCY_LIMIT
            candidate.load >= usableCapacity(candidate, work) -> Verdict.FULL
            contended && candidate.inFlight >= candidate.fairShare -> Verdict.FULL
            else -> null
        }

    private fun hasRoom(
        candidate: UpstreamRuntime,
        work: WorkClass,
        nanos: Long,
    ): Boolean = fullness(candidate, work, nanos) == null

    private fun wasTried(
        candidate: UpstreamRuntime,
        request: RoutingRequest,
    ): Boolean {
        for (id in request.tried) if (id.value == candidate.spec.id.value) return true
        return false
    }

    private fun usableCapacity(
        candidate: UpstreamRuntime,
        work: WorkClass,
    ): Int {
        val capacity = candidate.capacity
        if (work != WorkClass.LONG || capacity <= 1) return capacity
        return maxOf(1, (capacity * LONG_CAPACITY).toInt())
    }

    /**
     * Utilisation up to which candidates of [tier] are suitable: the target, or the load bound once the tier as a whole is near
     * the target. A tier above its target leaves the excess to the next one, unless it is the last.
     */
    private fun bound(
        tier: PriceTier,
        work: WorkClass,
        last: Boolean,
    ): Double {
        val target = if (work == WorkClass.LONG) tier.target.value * LONG_TARGET else tier.target.value
        return if (last || tier.utilisationWithOneMore <= target) maxOf(target, LOAD_BOUND * tier.utilisation) else target
    }

    private fun isWithin(
        candidate: UpstreamRuntime,
        bound: Double,
    ): Boolean = candidate.state == UpstreamState.COLD || candidate.load + 1 <= maxOf(1.0, bound * candidate.capacity)

    private fun offerFallback(candidate: UpstreamRuntime) {
        val utilisation = utilisation(candidate)
        if (utilisation < leastUtilisation) {
            leastUtilisation = utilisation
            least = candidate
        }
    }

    private fun offerLastResort(
        candidate: UpstreamRuntime,
        request: RoutingRequest,
        nanos: Long,
    ) {
        val work = request.route.workClass
        if (lastResort == null && work.idempotent && hasRoom(candidate, work, nanos)) lastResort = candidate
    }

    private fun utilisation(candidate: UpstreamRuntime): Double = (candidate.load + 1.0) / maxOf(1, candidate.capacity)

    private companion object {
        /** An upstream may have this many times the average utilisation of its tier before a prefix moves to the next one. */
        const val LOAD_BOUND = 1.25

        /** Part of the target that long work may fill, so that interactive work finds room where its prefix is. */
        const val LONG_TARGET = 0.8

        /** Part of an upstream's capacity that long work may take. */
        const val LONG_CAPACITY = 0.9
    }
}
