package io.buckthornlever.core.request

import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.core.process.ColdStartShares
import io.buckthornlever.core.process.UpstreamRuntime
import io.buckthornlever.core.process.UpstreamState

/**
 * Searches a small number of candidates per price tier, for the tiers of one or more version groups.
 *
 * Tiers are visited from the cheapest to the most expensive. A candidate is suitable if it has capacity and its utilisation is
 * within the bound of the tier. For a request with a prefix the holder of the prefix wins, then the first in rendezvous order;
 * otherwise the least utilised wins. If no candidate is suitable, [fallback] is the least utilised of those above the bound.
 */
internal class CandidateSearch(
    private val shares: ColdStartShares,
    private val directory: PrefixCacheDirectory,
    private val trace: DecisionTrace,
) {
    private val candidates = Candidates()
    private var leastLoaded: UpstreamRuntime? = null
    private var leastUtilisation = Double.MAX_VALUE

    /** True while requests wait. Free capacity is then divided among the instances instead of going to the first one. */
    var contended: Boolean = false

    /** The least utilised upstream that can take the request but is above the utilisation bound. */
    val fallback: UpstreamRuntime? get() = leastLoaded

    /** First suspect upstream that may take the request if no healthy one can. */
    var suspectFallback: UpstreamRuntime? = null
        private set

    /** True if some candidate was rejected only because it is at capacity at present. */
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

    /** The most suitable upstream of [group] within the utilisation bound, or null. */
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
            contended && candidate.inFlight >= candidate.fairShare -> Verdict.FULL
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
     * Utilisation up to which candidates of [tier] are suitable. It is the larger of the target and [LOAD_BOUND] times the average
     * utilisation of the tier. Once the tier as a whole would exceed the target, it is the target alone, so that the excess goes
     * to the next tier; the last tier has none to pass it to.
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
        /** Multiple of the average utilisation of its tier that an upstream may reach before a prefix goes to the next candidate. */
        const val LOAD_BOUND = 1.25

        /** Fraction of the target that long work may fill, so that interactive work finds capacity where its prefix is cached. */
        const val LONG_TARGET_FRACTION = 0.8

        /** Fraction of an upstream's capacity that long work may use. */
        const val LONG_CAPACITY_FRACTION = 0.9
    }
}
