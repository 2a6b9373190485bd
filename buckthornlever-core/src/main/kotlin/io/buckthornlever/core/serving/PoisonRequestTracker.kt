package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Counts the upstreams that broke off while they ran requests of the same content, over all instances. A content that has
 * broken off [MAX_BREAKS] runs is not run again for [MEMORY]. Not thread-safe.
 */
public class PoisonRequestTracker {
    private val own = LinkedHashMap<Long, Breaks>()
    private val peers = HashMap<String, Map<Long, Int>>()

    /** Records that an upstream broke off a run of [fingerprint]. */
    public fun onBrokenRun(
        fingerprint: Long,
        nanos: Long,
    ) {
        val breaks = own.getOrPut(fingerprint) { Breaks() }
        breaks.count++
        breaks.lastNanos = nanos
        if (own.size > MAX_CONTENTS) own.remove(own.keys.first())
    }

    /** True when [fingerprint] must not run again. */
    public fun isBlocked(fingerprint: Long): Boolean =
        (own[fingerprint]?.count ?: 0) + peers.values.sumOf { it[fingerprint] ?: 0 } >= MAX_BREAKS

    /** Contents that broke off a run here, with the number of runs. */
    public fun counts(nanos: Long): Map<Long, Int> {
        own.values.removeIf { nanos - it.lastNanos > MEMORY.toNanos() }
        return own.mapValues { it.value.count }
    }

    /** Takes the counts of [peer], in place of those that it sent before. */
    public fun updatePeer(
        peer: String,
        counts: Map<Long, Int>,
    ) {
        peers[peer] = counts
    }

    /** Counts by the instance that made them, with those of this instance under the name [self]; instances without any are left out. */
    public fun countsByInstance(
        self: String,
        nanos: Long,
    ): Map<String, Map<Long, Int>> = (peers + (self to counts(nanos))).filterValues { it.isNotEmpty() }

    /** Takes the counts of all peers, in place of all that were sent before. */
    public fun replacePeers(counts: Map<String, Map<Long, Int>>) {
        peers.clear()
        peers.putAll(counts)
    }

    private class Breaks {
        var count = 0
        var lastNanos = 0L
    }

    public companion object {
        /** Runs after which a content counts as the cause. */
        public const val MAX_BREAKS: Int = 2

        /** Contents remembered, so that a datagram holds them all. */
        private const val MAX_CONTENTS = 64

        /** Time after which a content may run again; callers that send it again do so within their time limit. */
        private val MEMORY: Duration = Duration.ofSeconds(60)
    }
}
