package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.serving.CrashSighting
import io.buckthornlever.api.serving.SuspectEvidence

/**
 * Finds prompt parts that crash the upstreams that start to answer on them, from what all instances observe. Not thread-safe.
 *
 * Each part of each run that a crash ends before it had output is a suspect, since the crash does not tell which run caused it. A
 * later run with output clears its parts. A part whose runs keep crashing upstreams without any output in between is blocked. Parts
 * that explain the same crashes are only blocked together: a later request with some of them shows which one is the cause, by its
 * output or by one more crash.
 */
public class PoisonPartTracker {
    private val suspects = HashMap<Long, SuspectPart>()

    /** Time of the last output by part, in milliseconds since the epoch; the least recently used part first. */
    private val outputTimes = LinkedHashMap<Long, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Sets of parts that must not run; a request is blocked if it has all parts of a set. */
    public var blocked: Set<Set<Long>> = emptySet()
        private set

    /** True if a request with [parts] must not run. */
    public fun blocks(parts: List<Long>): Boolean = blocked.any { parts.containsAll(it) }

    /** Incremented by each change of the evidence. */
    public var revision: Long = 0
        private set

    /** Records that a crash of [upstream] ended a run with [parts] that had had no output. */
    public fun onCrash(
        parts: List<Long>,
        upstream: UpstreamId,
        nowMillis: Long,
    ) {
        if (parts.isEmpty()) return
        val crash = setOf(CrashSighting(StableHash.of(upstream.value), nowMillis))
        revision++
        for (part in parts) {
            val suspect = suspects.getOrPut(part) { SuspectPart() }
            if (suspect.merge(SuspectEvidence(crash, outputTimes[part]))) markChanged(suspect, isObserved = true)
        }
        updateBlocked(nowMillis)
    }

    /** Records that a run with [parts] has had output. */
    public fun onOutput(
        parts: List<Long>,
        nowMillis: Long,
    ) {
        for (part in parts) outputTimes[part] = nowMillis
        while (outputTimes.size > MAX_OUTPUT_TIMES) outputTimes.remove(outputTimes.keys.first())
        if (suspects.isEmpty()) return
        val cleared = parts.mapNotNull { suspects[it] }.filter { it.clear(nowMillis) }
        if (cleared.isEmpty()) return
        revision++
        cleared.forEach { markChanged(it, isObserved = true) }
        updateBlocked(nowMillis)
    }

    /** Evidence that changed after [sinceRevision], for the other instances; at most [MAX_SHARED] suspects, those with the most crashes. */
    public fun evidence(sinceRevision: Long): Map<Long, SuspectEvidence> = evidence { it.changedAt > sinceRevision }

    /** Evidence that this instance has observed itself after [sinceRevision], otherwise as [evidence]. */
    public fun observedEvidence(sinceRevision: Long): Map<Long, SuspectEvidence> = evidence { it.observedAt > sinceRevision }

    /** Merges [evidence] of another instance; neither their order nor a repetition makes a difference. */
    public fun merge(
        evidence: Map<Long, SuspectEvidence>,
        nowMillis: Long,
    ) {
        revision++
        for ((part, other) in evidence) {
            val suspect = suspects.getOrPut(part) { SuspectPart() }
            if (suspect.merge(other)) markChanged(suspect, isObserved = false)
            // Only this instance may know that the part has had output.
            val output = outputTimes[part]
            if (!suspect.hasHadOutput && output != null) {
                suspect.clear(output)
                markChanged(suspect, isObserved = true)
            }
        }
        updateBlocked(nowMillis)
    }

    /** Drops evidence that is too old. */
    public fun expire(nowMillis: Long) {
        if (suspects.isNotEmpty()) updateBlocked(nowMillis)
    }

    private fun evidence(isWanted: (SuspectPart) -> Boolean): Map<Long, SuspectEvidence> =
        suspects.entries
            .filter { isWanted(it.value) }
            .sortedByDescending { it.value.crashCount }
            .take(MAX_SHARED)
            .associate { it.key to it.value.toEvidence() }

    private fun markChanged(
        suspect: SuspectPart,
        isObserved: Boolean,
    ) {
        suspect.changedAt = revision
        if (isObserved) suspect.observedAt = revision
    }

    private fun updateBlocked(nowMillis: Long) {
        suspects.entries.removeIf { (part, suspect) ->
            val retention = if (blocked.any { part in it }) BLOCK_MILLIS else SUSPICION_MILLIS
            suspect.expire(nowMillis - retention, nowMillis + MAX_CLOCK_ERROR_MILLIS)
            // A cleared suspect is kept until the other instances know that it is cleared.
            suspect.crashCount == 0 && (suspect.lastOutputMillis ?: Long.MIN_VALUE) < nowMillis - CLEARED_MILLIS
        }
        if (suspects.size > MAX_SUSPECTS) {
            suspects.entries.sortedBy { it.value.crashCount }.take(suspects.size - MAX_SUSPECTS).forEach { suspects.remove(it.key) }
        }
        blocked = findCauses()
    }

    /** Picks the part that explains the most crashes until too few unexplained crashes are left for another one. */
    private fun findCauses(): Set<Set<Long>> {
        val candidates = suspects.filterValues { it.crashCount >= it.blockThreshold }
        val causes = ArrayList<SuspectPart>()
        val combinations = LinkedHashSet<Set<Long>>()
        while (combinations.size < candidates.size) {
            val cause = strongestCause(candidates.values, causes) ?: break
            val crashes = cause.unexplainedCrashes(causes)
            combinations.add(
                candidates.filterValues { it.hasHadOutput == cause.hasHadOutput && crashes.all(it::hasSeen) }.keys,
            )
            causes.add(cause)
        }
        return combinations
    }

    private fun strongestCause(
        candidates: Collection<SuspectPart>,
        causes: List<SuspectPart>,
    ): SuspectPart? =
        candidates
            .filter { it !in causes && it.unexplainedCrashCount(causes) >= it.blockThreshold }
            .maxWithOrNull(compareBy({ !it.hasHadOutput }, { it.unexplainedCrashCount(causes) }))

    private companion object {
        const val INITIAL_CAPACITY = 256
        const val LOAD_FACTOR = 0.75f

        /** Parts whose last output is remembered. */
        const val MAX_OUTPUT_TIMES = 4_096
        const val MAX_SUSPECTS = 512

        /** Suspects in one message, so that it fits into a datagram. */
        const val MAX_SHARED = 64

        /** Time for which a part remains suspect after a crash. */
        const val SUSPICION_MILLIS = 60_000L

        /** Time for which a crash keeps a part blocked. */
        const val BLOCK_MILLIS = 600_000L
        const val CLEARED_MILLIS = 5_000L

        /** Crashes that lie further in the future are dropped, since they would not expire. */
        const val MAX_CLOCK_ERROR_MILLIS = 60_000L
    }
}
