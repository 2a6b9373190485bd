package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServingTable
import java.time.Duration

/**
 * The serving table in force with the time of its last confirmation. The highest version wins; a pause of the machine that
 * the steady clock does not count makes the table unconfirmed until the store has answered again. Not thread-safe.
 */
public class ServingBelief(
    private val limits: BeliefLimits,
) {
    private var confirmedAt = NEVER
    private var pausedAt = NEVER

    /** The newest table, null before the first. */
    public var table: ServingTable? = null
        private set

    /** Takes [table] and returns true if it is newer than the one in force. */
    public fun offer(table: ServingTable): Boolean {
        val current = this.table
        if (current != null && table.version <= current.version) return false
        this.table = table
        return true
    }

    /** The store has confirmed the table by an answer to a call that was sent at [sentNanos]. */
    public fun confirmed(sentNanos: Long) {
        // The age of an answer to a call from before a pause is not known.
        if (sentNanos >= pausedAt && sentNanos > confirmedAt) confirmedAt = sentNanos
    }

    /** The machine stood still until [nanos], for a time that the steady clock may not have counted. */
    public fun paused(nanos: Long) {
        confirmedAt = NEVER
        pausedAt = nanos
    }

    /** Age of the last confirmation; null when there is none. */
    public fun age(nanos: Long): Duration? = if (confirmedAt == NEVER) null else Duration.ofNanos(nanos - confirmedAt)

    /** True when a request with a key may start. */
    public fun allowsKeyedWork(nanos: Long): Boolean = isConfirmedWithin(limits.keyedRequests, nanos)

    /** True when a request may be refused for a missing route or key. */
    public fun allowsDenial(nanos: Long): Boolean = isConfirmedWithin(limits.denial, nanos)

    /** True when the instance should get new connections. */
    public fun isReady(nanos: Long): Boolean = table != null && isConfirmedWithin(limits.readiness, nanos)

    private fun isConfirmedWithin(
        limit: Duration,
        nanos: Long,
    ): Boolean = age(nanos)?.let { it <= limit } ?: false

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
