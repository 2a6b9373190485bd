package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServingTable
import java.time.Duration

/**
 * The serving table in force and the time of its last confirmation by the shared store. The highest version wins. After a pause
 * that the monotonic clock may not have counted, the table is unconfirmed until the store answers again. Not thread-safe.
 */
public class ServingTableCache(
    private val limits: TableAgeLimits,
) {
    private var confirmedAt = NEVER
    private var pausedAt = NEVER

    /** The newest table; null before the first. */
    public var table: ServingTable? = null
        private set

    /** Replaces the table in force and returns true if [table] is newer, else returns false. */
    public fun updateIfNewer(table: ServingTable): Boolean {
        val current = this.table
        if (current != null && table.version <= current.version) return false
        this.table = table
        return true
    }

    /** Records that the store confirmed the table in the answer to a call sent at [sentNanos]. */
    public fun onConfirmed(sentNanos: Long) {
        // How old the answer to a call from before a pause is cannot be known.
        if (sentNanos >= pausedAt && sentNanos > confirmedAt) confirmedAt = sentNanos
    }

    /** Discards the confirmation after a pause that ended at [nanos], since the monotonic clock may not have counted the pause. */
    public fun onPause(nanos: Long) {
        confirmedAt = NEVER
        pausedAt = nanos
    }

    /** The table in force if the store has ever confirmed it since the last pause, else null. */
    public fun confirmedTable(): ServingTable? = table.takeIf { confirmedAt != NEVER }

    /** Age of the last confirmation; null when the table is unconfirmed. */
    public fun age(nanos: Long): Duration? = if (confirmedAt == NEVER) null else Duration.ofNanos(nanos - confirmedAt)

    /** True when a request with a key may start. */
    public fun allowsKeyedRequests(nanos: Long): Boolean = isConfirmedWithin(limits.keyedRequests, nanos)

    /** True when a request may be refused for a missing route or key. */
    public fun allowsDenial(nanos: Long): Boolean = isConfirmedWithin(limits.denial, nanos)

    /** True when the instance is ready for new connections. */
    public fun isReady(nanos: Long): Boolean = table != null && isConfirmedWithin(limits.readiness, nanos)

    private fun isConfirmedWithin(
        limit: Duration,
        nanos: Long,
    ): Boolean = age(nanos)?.let { it <= limit } ?: false

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
