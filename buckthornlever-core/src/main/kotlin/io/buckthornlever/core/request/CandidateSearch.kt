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
    private val directory: PrefixCacheDirectory,
    private val trace: DecisionTrace,
) {
    private val candidates = Candidates()
    private var leastLoaded: UpstreamRuntime? = null
    private var leastUtilisation = Double.MAX_VALUE

    /** True while requests wait; room is then divided among the instances instead of being open to the first. */
    var contended: Boolean = false

    /** Upstream that can take the request, although it is above the bound. */
    val fallback: UpstreamRuntime? get() = leastLoaded

    /** Suspect upstream that can take the request if no healthy one can. */
    var suspectFallback: UpstreamRuntime? = null
        private set

    /** True when some candidate is full only now. */
    var foundBusyCandidate: Boolean = false
        private set

    fun clear() {
        clearFallback()
        suspectFallback = null
        foundBusyCandidate = false
    }

    fun clearFallback() {
        leastLoaded = null
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
            tier.collectCandidates(key, candidates)
            val bound = utilisationBound(tier, request.route.workClass, i == group.tiers.lastIndex)
            val found = mostSuitable(bound, key, request, nanos)
            if (found != null) return found
        }
        return null
    }

    private fun mostSuitable(
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
            val rejection = rejection(candidate, request, nanos)
            if (rejection != null) {
                recordRejection(candidate, rejection, request, nanos)
                continue
            }
            if (!isWithinBound(candidate, bound)) {
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

    private fun recordRejection(
        candidate: UpstreamRuntime,
        rejection: Verdict,
        request: RoutingRequest,
        nanos: Long,
    ) {
        trace.record(candidate, rejection)
        when (rejection) {
            Verdict.COLD_LIMIT, Verdict.CONCURRENCY_LIMIT, Verdict.FULL -> foundBusyCandidate = true
            Verdict.SUSPECT -> offerSuspectFallback(candidate, request, nanos)
            else -> Unit
        }
    }

    private fun rejection(
        candidate: UpstreamRuntime,
        request: RoutingRequest,
        nanos: Long,
    ): Verdict? {
        if (wasTried(candidate, request)) return Verdict.ALREADY_TRIED
        return when (candidate.state) {
            UpstreamState.LEAVING -> Verdict.LEAVING
            UpstreamState.DOWN -> Verdict.DOWN
            UpstreamState.SUSPECT -> Verdict.SUSPECT
            UpstreamState.COLD -> if (hasCapacity(candidate, request.route.workClass, nanos)) null else Verdict.COLD_LIMIT
            UpstreamState.HEALTHY -> capacityRejection(candidate, request.route.workClass, nanos)
        }
    }

    private fun capacityRejection(
        candidate: UpstreamRuntime,
        work: WorkClass,
        nanos: Long,
    ): Verdict? =
        when {
            candidate.inFlight >= candidate.ownLimit(shares, nanos) -> Verdict.CONCURRENCY_LIMIT
            candidate.load >= usableCapacity(candidate, work) -> Verdict.FULL
            contended && candidate.inFlight >= candidate.fairPart -> Verdict.FULL
            else -> null
        }

    private fun hasCapacity(
        candidate: UpstreamRuntime,
        work: WorkClass,
        nanos: Long,
    ): Boolean = capacityRejection(candidate, work, nanos) == null

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
        return maxOf(1, (capacity * LONG_CAPACITY_FRACTION).toInt())
    }

    /**
     * Utilisation up to which candidates of [tier] are suitable: the target, or the load bound once the tier as a whole is near
     * the target. A tier above its target leaves the excess to the next one, unless it is the last.
     */
    private fun utilisationBound(
        tier: PriceTier,
        work: WorkClass,
        isLastTier: Boolean,
    ): Double {
        val target = if (work == WorkClass.LONG) tier.target.value * LONG_TARGET_FRACTION else tier.target.value
        return if (isLastTier || tier.utilisationWithOneMore <= target) maxOf(target, LOAD_BOUND * tier.utilisation) else target
    }

    private fun isWithinBound(
        candidate: UpstreamRuntime,
        bound: Double,
    ): Boolean = candidate.state == UpstreamState.COLD || candidate.load + 1 <= maxOf(1.0, bound * candidate.capacity)

    private fun offerFallback(candidate: UpstreamRuntime) {
        val utilisation = utilisation(candidate)
        if (utilisation < leastUtilisation) {
            leastUtilisation = utilisation
            leastLoaded = candidate
        }
    }

    private fun offerSuspectFallback(
        candidate: UpstreamRuntime,
        request: RoutingRequest,
        nanos: Long,
    ) {
        val work = request.route.workClass
        if (suspectFallback == null && work.idempotent && hasCapacity(candidate, work, nanos)) suspectFallback = candidate
    }

    private fun utilisation(candidate: UpstreamRuntime): Double = (candidate.load + 1.0) / maxOf(1, candidate.capacity)

    private companion object {
        /** An upstream may have this many times the average utilisation of its tier before a prefix moves to the next one. */
        const val LOAD_BOUND = 1.25

        /** Part of the target that long work may fill, so that interactive work finds room where its prefix is. */
        const val LONG_TARGET_FRACTION = 0.8

        /** Part of an upstream's capacity that long work may take. */
        const val LONG_CAPACITY_FRACTION = 0.9
    }
}
