package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Tracks requests that may crash the upstreams that run them. It counts the broken runs of requests with the same fingerprint over
 * all instances; a fingerprint with [MAX_BROKEN_RUNS] of them is blocked for [RETENTION]. Not thread-safe.
 */
public class PoisonRequestTracker {
    private val ownCounts = LinkedHashMap<Long, BrokenRuns>()
    private val peerCounts = HashMap<String, Map<Long, Int>>()

    /** Records that the connection to an upstream broke while it ran a request with [fingerprint]. */
    public fun onBrokenRun(
        fingerprint: Long,
        nanos: Long,
    ) {
        val broken = ownCounts.getOrPut(fingerprint) { BrokenRuns() }
        broken.count++
        broken.lastNanos = nanos
        if (ownCounts.size > MAX_FINGERPRINTS) ownCounts.remove(ownCounts.keys.first())
    }

    /** True when a request with [fingerprint] must not run again. */
    public fun isBlocked(fingerprint: Long): Boolean =
        (ownCounts[fingerprint]?.count ?: 0) + peerCounts.values.sumOf { it[fingerprint] ?: 0 } >= MAX_BROKEN_RUNS

    /** Returns the broken runs on this instance by fingerprint, and drops those older than [RETENTION]. */
    public fun counts(nanos: Long): Map<Long, Int> {
        ownCounts.values.removeIf { nanos - it.lastNanos > RETENTION.toNanos() }
        return ownCounts.mapValues { it.value.count }
    }

    /** Replaces the counts of [peer]. */
    public fun updatePeer(
        peer: String,
        counts: Map<Long, Int>,
    ) {
        peerCounts[peer] = counts
    }

    /**
     * Returns the counts by instance, those of this instance under [self]; instances without counts are left out. Of more than
     * [MAX_SHARED] counts, those of the fingerprints with the most broken runs are returned.
     */
    public fun countsByInstance(
        self: String,
        nanos: Long,
    ): Map<String, Map<Long, Int>> {
        val all = (peerCounts + (self to counts(nanos))).flatMap { (instance, counts) -> counts.map { Triple(instance, it.key, it.value) } }
        val totals = all.groupingBy { it.second }.fold(0) { sum, entry -> sum + entry.third }
        return all
            .sortedByDescending { totals.getValue(it.second) }
            .take(MAX_SHARED)
            .groupBy({ it.first }, { it.second to it.third })
            .mapValues { it.value.toMap() }
    }

    /** Replaces the counts of all peers. */
    public fun replacePeers(counts: Map<String, Map<Long, Int>>) {
        peerCounts.clear()
        peerCounts.putAll(counts)
    }

    private class BrokenRuns {
        var count = 0
        var lastNanos = 0L
    }

    public companion object {
        /** Broken runs after which the request counts as their cause. */
        public const val MAX_BROKEN_RUNS: Int = 2

        /** Fingerprints of broken runs on this instance. */
        private const val MAX_FINGERPRINTS = 64

        /** Counts of all instances that fit into one datagram, at some ten bytes each. */
        private const val MAX_SHARED = 1_024

        /** Time after which a blocked fingerprint may run again; callers resend a request only within their time limit. */
        private val RETENTION: Duration = Duration.ofSeconds(60)
    }
}
