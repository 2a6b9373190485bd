package io.buckthornlever.api.serving

/**
 * Result of a watch.
 *
 * @property revision revision from which the next watch continues
 * @property asOfNanos monotonic time in nanoseconds up to which the changes are complete; null when that is the time of the call
 */
public data class StateChanges(
    val changes: List<StateChange>,
    val revision: Long,
    val asOfNanos: Long? = null,
)
