package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServingTable
import java.time.Duration

/**
 * The serving table in force with the time of its last confirmation. The highest version wins; a pause of the machine that
 * the steady clock does not count makes the table unconfirmed until the store has answered again. Not thread-safe.
 */
public class ServingTableCache(
    private val limits: TableAgeLimits,
) {
    private var confirmedAt = UNCONFIRMED
    private var pausedAt = UNCONFIRMED

    /** The newest table, null before the first. */
    public var table: ServingTable? = null
        private set

    /** Takes [table] and returns true if it is newer than the one in force. */
    public fun updateIfNewer(table: ServingTable): Boolean {
        val current = this.table
        if (current != null && table.version <= current.version) return false
        this.table = table
        return true
    }

    /** The store has confirmed the table by an answer to a call that was sent at [sentNanos]. */
    public fun onConfirmed(sentNanos: Long) {
        // The age of an answer to a call from before a pause is not known.
        if (sentNanos >= pausedAt && sentNanos > confirmedAt) confirmedAt = sentNanos
    }

    /** The machine stood still until [nanos], for a time that the steady clock may not have counted. */
    public fun onPause(nanos: Long) {
        confirmedAt = UNCONFIRMED
        pausedAt = nanos
    }

    /** Age of the last confirmation; null when there is none. */
    public fun age(nanos: Long): Duration? = if (confirmedAt == UNCONFIRMED) null else Duration.ofNanos(nanos - confirmedAt)

    /** True when a request with a key may start. */
    public fun allowsKeyedRequests(nanos: Long): Boolean = within(limits.keyedWork, nanos)

    /** True when a request may be refused for a missing route or key. */
    public fun allowsDenial(nanos: Long): Boolean = within(limits.denial, nanos)

    /** True when the instance should get new connections. */
    public fun isReady(nanos: Long): Boolean = table != null && within(limits.readiness, nanos)

    private fun within(
        limit: Duration,
        nanos: Long,
    ): Boolean = age(nanos)?.let { it <= limit } ?: false

    private companion object {
        const val UNCONFIRMED = Long.MIN_VALUE
    }
}
