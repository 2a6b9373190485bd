package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Decides which connection makes place for a new one. It is made for callers that open very many connections and leave them without
 * requests: the process needs descriptors for its own connections to upstreams, the store and other instances.
 *
 * @property limit connections that may be open
 */
public class ConnectionBudget(
    public val limit: Int,
) {
    /**
     * The one of [holders] that has waited longest for a request, or else for the rest of one; null if all are being served, or have not
     * had the time to send a request yet.
     */
    public fun longestWithoutRequest(
        holders: Iterable<MemoryHolder>,
        nanos: Long,
    ): MemoryHolder? {
        var idle: MemoryHolder? = null
        var reading: MemoryHolder? = null
        for (holder in holders) {
            if (holder.phase == HolderPhase.IDLE && isLonger(holder, idle, nanos - MIN_IDLE.toNanos())) idle = holder
            if (holder.phase == HolderPhase.READING && isLonger(holder, reading, nanos - MIN_READING.toNanos())) reading = holder
        }
        return idle ?: reading
    }

    private fun isLonger(
        holder: MemoryHolder,
        other: MemoryHolder?,
        latestNanos: Long,
    ): Boolean = !holder.isWaiting && holder.progressNanos - (other?.progressNanos ?: (latestNanos + 1)) < 0

    private companion object {
        /** Time in which a caller that has connected sends its request, or one that keeps its connection the next one. */
        val MIN_IDLE: Duration = Duration.ofMillis(250)

        /** Time in which a caller that sends a request sends more of it. */
        val MIN_READING: Duration = Duration.ofSeconds(1)
    }
}
