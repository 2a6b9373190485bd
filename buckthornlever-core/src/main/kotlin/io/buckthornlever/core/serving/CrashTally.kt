package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Counts the upstreams that broke off while they ran requests of the same content, over all instances. A content that has
 * broken off [MAX_BROKEN_RUNS] runs is not run again for [RETENTION]. Not thread-safe.
 */
public class CrashTally {
    private val ownCounts = LinkedHashMap<Long, BrokenRuns>()
    private val peerCounts = HashMap<String, Map<Long, Int>>()

    /** Records that an upstream broke off a run of [fingerprint]. */
    public fun brokeOff(
        fingerprint: Long,
        nanos: Long,
    ) {
        val breaks = ownCounts.getOrPut(fingerprint) { BrokenRuns() }
        breaks.count++
        breaks.lastNanos = nanos
        if (ownCounts.size > MAX_FINGERPRINTS) ownCounts.remove(ownCounts.keys.first())
    }

    /** True when [fingerprint] must not run again. */
    public fun refuses(fingerprint: Long): Boolean =
        (ownCounts[fingerprint]?.count ?: 0) + peerCounts.values.sumOf { it[fingerprint] ?: 0 } >= MAX_BROKEN_RUNS

    /** Contents that broke off a run here, with the number of runs. */
    public fun counts(nanos: Long): Map<Long, Int> {
        ownCounts.values.removeIf { nanos - it.lastNanos > RETENTION.toNanos() }
        return ownCounts.mapValues { it.value.count }
    }

    /** Takes the counts of [peer], in place of those that it sent before. */
    public fun heard(
        peer: String,
        counts: Map<Long, Int>,
    ) {
        peerCounts[peer] = counts
    }

    /** Counts by the instance that made them, with those of this instance under the name [self]; instances without any are left out. */
    public fun byInstance(
        self: String,
        nanos: Long,
    ): Map<String, Map<Long, Int>> = (peerCounts + (self to counts(nanos))).filterValues { it.isNotEmpty() }

    /** Takes the counts of all peers, in place of all that were sent before. */
    public fun heardAll(counts: Map<String, Map<Long, Int>>) {
        peerCounts.clear()
        peerCounts.putAll(counts)
    }

    private class BrokenRuns {
        var count = 0
        var lastNanos = 0L
    }

    public companion object {
        /** Runs after which a content counts as the cause. */
        public const val MAX_BROKEN_RUNS: Int = 2

        /** Contents remembered, so that a datagram holds them all. */
        private const val MAX_FINGERPRINTS = 64

        /** Time after which a content may run again; callers that send it again do so within their time limit. */
        private val RETENTION: Duration = Duration.ofSeconds(60)
    }
}
