package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import java.util.SplittableRandom

/**
 * Chooses the upstream of a request among a few candidates: the owners of its shared prompt part, and some at random. It takes the one
 * with the shortest expected time to the first event, plus what crossing failure domains, failures and a cold phase cost. An upstream that
 * would read the shared part anew must be better by a margin, unless the request may be late at all that hold the part. Not thread-safe.
 *
 * The load of the large sites is addressed: some ten shared parts are used several times per second each. Instances that know different
 * figures would otherwise spread each part over many upstreams, which all read it.
 *
 * Many instances have the same load figures, which are some 0.5 s old on large sites. If each took the best of all upstreams, they would
 * overload it together; the best of a few random ones keeps the busiest upstream near the mean, and its cost does not grow with the
 * number of upstreams.
 *
 * @param seed differs between instances, so that they draw different candidates
 * @param obstacle returns what keeps an upstream from taking a request at a time
 */
internal class PlacementChooser(
    private val domain: FailureDomain,
    private val options: BalancerOptions,
    private val estimator: ExpectedTimeEstimator,
    seed: Long,
    private val obstacle: (UpstreamEntry, Long) -> PlacementObstacle?,
) {
    private val random = SplittableRandom(seed)
    private val medians = HashMap<String, Median>()

    /** Result of the latest call of [choose]: true if an upstream that was not tried has no capacity now. */
    var wasBusy: Boolean = false
        private set

    /** Returns the best upstream of [group] for [query], null if none of those that were looked at can take the request. */
    fun choose(
        group: UpstreamGroup,
        query: PlacementQuery,
        nanos: Long,
    ): UpstreamEntry? {
        wasBusy = false
        val search = Search(group, query, nanos)
        if (options.usesExpectedTimes) search.owners.forEach(search::offer)
        if (!options.usesExpectedTimes || group.entries.size <= MAX_COMPARED) {
            search.offerInTurn(group.entries.size, Int.MAX_VALUE)
        } else {
            search.offerAtRandom(candidateCount(query))
            if (search.best == null) search.offerInTurn(MAX_LOOKED_AT, candidateCount(query))
        }
        return search.best
    }

    /**
     * Returns up to [count] candidates of [group] for [query], the best first; a choice among them by newer figures is likely to be better
     * than the choice by the present ones.
     */
    fun candidates(
        group: UpstreamGroup,
        query: PlacementQuery,
        count: Int,
        nanos: Long,
    ): List<UpstreamEntry> {
        val search = Search(group, query, nanos)
        val drawn = LinkedHashSet(search.owners)
        if (group.entries.size <= MAX_COMPARED) {
            drawn.addAll(group.entries)
        } else {
            repeat(candidateCount(query)) { drawn.add(group.entries[random.nextInt(group.entries.size)]) }
        }
        return drawn
            .filter { it.upstream.id !in query.tried && obstacle(it, nanos) == null }
            .map { it to search.costWithMargin(it) }
            .sortedBy { it.second }
            .take(count)
            .map { it.first }
    }

    /** Returns the best of [candidates] for [query] that can take it now; null if none can. */
    fun chooseAmong(
        candidates: List<UpstreamEntry>,
        group: UpstreamGroup,
        query: PlacementQuery,
        nanos: Long,
    ): UpstreamEntry? {
        val search = Search(group, query, nanos)
        val (holders, others) = candidates.partition(search::mayHold)
        holders.forEach(search::offer)
        others.forEach(search::offer)
        return search.best
    }

    /** Prompt tokens of [query] that [entry] is known or likely to hold. */
    fun heldTokens(
        group: UpstreamGroup,
        query: PlacementQuery,
        entry: UpstreamEntry,
        nanos: Long,
    ): Int = Search(group, query, nanos).heldTokens(entry)

    /** A larger prompt delays more requests at a bad upstream, and is worth a look at more candidates. */
    private fun candidateCount(query: PlacementQuery): Int =
        MIN_CANDIDATES + minOf(query.promptTokens / TOKENS_PER_CANDIDATE, MAX_MORE_CANDIDATES)

    private fun medianFailureRate(
        service: String,
        group: UpstreamGroup,
        nanos: Long,
    ): Double {
        val known = medians[service]
        if (known != null && nanos - known.nanos in 0..<MEDIAN_NANOS) return known.rate
        val rates = group.entries.map { it.expectedFailureRate(nanos) }.sorted()
        val rate = if (rates.isEmpty()) 0.0 else rates[(rates.size - 1) / 2]
        medians[service] = Median(rate, nanos)
        return rate
    }

    private inner class Search(
        private val group: UpstreamGroup,
        private val query: PlacementQuery,
        private val nanos: Long,
    ) {
        private val key = query.sharedParts.lastOrNull()

        /** Upstreams that may read the shared part, in their order. */
        val owners: List<UpstreamEntry> = if (key == null) emptyList() else ownersOf(group, key)
        private var bestHolderCost = Double.MAX_VALUE
        private var bestCost = Double.MAX_VALUE
        var best: UpstreamEntry? = null
            private set

        /** Looks at [entry] and returns true if it can take the request. */
        fun offer(entry: UpstreamEntry): Boolean {
            if (entry.upstream.id in query.tried) return false
            if (obstacle(entry, nanos) != null) {
                wasBusy = wasBusy || !entry.statements.isPaused(nanos)
                return false
            }
            val cost = costWithMargin(entry)
            if (cost < bestCost) {
                best = entry
                bestCost = cost
            }
            return true
        }

        fun offerAtRandom(count: Int) = repeat(count) { offer(group.entries[random.nextInt(group.entries.size)]) }

        /** Looks at up to [limit] upstreams from a random one on, until [wanted] of them can take the request. */
        fun offerInTurn(
            limit: Int,
            wanted: Int,
        ) {
            val size = group.entries.size
            if (size == 0) return
            val start = random.nextInt(size)
            var found = 0
            for (i in 0 until minOf(limit, size)) {
                if (offer(group.entries[(start + i) % size])) found++
                if (found >= wanted) return
            }
        }

        fun heldTokens(entry: UpstreamEntry): Int =
            when {
                key == null -> 0
                entry === owners.firstOrNull() || entry.holdsPart(key, nanos) -> query.sharedTokens
                // It has the part if the load of the first has sent other requests there before.
                entry === owners.getOrNull(1) -> query.sharedTokens / 2
                else -> 0
            }

        /** True if [entry] is an owner of the shared part, or has read it for this instance not long ago. */
        fun mayHold(entry: UpstreamEntry): Boolean = key != null && (entry in owners || entry.holdsPart(key, nanos))

        /** Cost of [entry], with the margin by which it must be better if the shared part would be read anew there. */
        fun costWithMargin(entry: UpstreamEntry): Double {
            val cost = cost(entry)
            if (key == null || !options.usesExpectedTimes) return cost
            if (mayHold(entry)) {
                bestHolderCost = minOf(bestHolderCost, cost)
                return cost
            }
            return if (mayBeLate(bestHolderCost)) cost else cost + READ_ANEW_MILLIS
        }

        /** True if a first output after [costMillis] would leave too little of the time until it is late for what the estimate misses. */
        private fun mayBeLate(costMillis: Double): Boolean =
            query.firstOutputBy?.let { costMillis * NANOS_PER_MILLI > LATE_SHARE * (it - nanos) } ?: false

        fun cost(entry: UpstreamEntry): Double {
            val crossing = if (entry.upstream.domain == domain) 0.0 else CROSS_DOMAIN_MILLIS
            val cold = if (entry.isCold(nanos)) COLD_MILLIS else 0.0
            return crossing + cold + failureCost(entry) + if (options.usesExpectedTimes) expectedCost(entry) else fixedCost(entry)
        }

        private fun failureCost(entry: UpstreamEntry): Double {
            val excess = entry.expectedFailureRate(nanos) - FAILURE_TOLERANCE
            return if (excess <= 0) 0.0 else FAILURE_MILLIS * maxOf(0.0, excess - medianFailureRate(query.service, group, nanos))
        }

        private fun expectedCost(entry: UpstreamEntry): Double {
            val tokens = if (query.promptTokens > 0) maxOf(1, query.promptTokens - heldTokens(entry)) else 0
            if (tokens <= 0) return estimator.drawnPlainMillis(entry, noise(), noise(), nanos) + tie(entry) + uncountedPart(entry)
            return estimator.firstOutputMillis(entry, tokens, nanos) + estimator.drawnLoadMillis(entry, noise(), nanos)
        }

        /** Time to read the shared part of a request that does not say how large its prompt is. */
        private fun uncountedPart(entry: UpstreamEntry): Double {
            if (key == null || entry === owners.firstOrNull() || entry.holdsPart(key, nanos)) return 0.0
            val tokens = if (query.sharedTokens > 0) query.sharedTokens else ASSUMED_PART_TOKENS
            return tokens * estimator.millisPerToken(query.service)
        }

        private fun noise(): Double = 2 * random.nextDouble() - 1

        private fun fixedCost(entry: UpstreamEntry): Double {
            val tokensToRead = query.promptTokens - if (entry === owners.firstOrNull()) query.sharedTokens else 0
            val prompt = (tokensToRead + entry.pendingTokens) * PromptPace.INITIAL_MILLIS_PER_TOKEN
            val load = PromptPace.LOAD_MILLIS * entry.expectedLoad(nanos) / maxOf(1, entry.upstream.slots)
            return prompt + load + if (query.promptTokens > 0) 0.0 else tie(entry)
        }

        private fun tie(entry: UpstreamEntry): Double =
            TIE_BREAK_MILLIS * StableHash.unit(StableHash.combine(query.tieBreak, entry.hash))
    }

    private fun ownersOf(
        group: UpstreamGroup,
        key: Long,
    ): List<UpstreamEntry> {
        val owners = ArrayList<UpstreamEntry>(UpstreamGroup.OWNERS)
        for (rank in 0 until UpstreamGroup.OWNERS) owners.add(group.owner(key, rank) ?: break)
        return owners
    }

    private class Median(
        val rate: Double,
        val nanos: Long,
    )

    private companion object {
        const val NANOS_PER_MILLI = 1e6

        /**
         * Share of the time until the first output is late from which on a request may be late. With 0.7, a half more long streams are late
         * in bursts, since the figures of owners are old.
         */
        const val LATE_SHARE = 0.35

        /**
         * Wait that is accepted beyond the time to read a shared part to avoid reading it anew. With 60 ms, three times as many parts are
         * read again at 1.7 times the load of the large sites.
         */
        const val READ_ANEW_MILLIS = 100.0

        /** Tokens of a shared part that a request names without saying how large it is. */
        const val ASSUMED_PART_TOKENS = 1_000

        /** Wait that is accepted to avoid crossing failure domains, in milliseconds. */
        const val CROSS_DOMAIN_MILLIS = 8.0

        /** Largest wait that the tie-break between equally good upstreams adds, in milliseconds. */
        const val TIE_BREAK_MILLIS = 2.0

        /** Wait that is as bad as a failure rate of 1, in milliseconds. */
        const val FAILURE_MILLIS = 2_000.0

        /** Excess of an upstream's failure rate over the median that is ignored. */
        const val FAILURE_TOLERANCE = 0.1

        /** Wait that is accepted to avoid a cold upstream, in milliseconds. */
        const val COLD_MILLIS = 100.0

        /** Groups of at most this size are compared as a whole. */
        const val MAX_COMPARED = 8

        /** Candidates drawn for a small prompt besides the owners of its shared part. */
        const val MIN_CANDIDATES = 4

        /** Prompt tokens for which one more candidate is drawn: some 100 ms of reading. */
        const val TOKENS_PER_CANDIDATE = 6_000
        const val MAX_MORE_CANDIDATES = 8

        /** Upstreams looked at when no candidate can take the request; others are looked at when it is tried again. */
        const val MAX_LOOKED_AT = 64

        /** Time for which a median of the failure rates is used. */
        const val MEDIAN_NANOS = 100_000_000L
    }
}
