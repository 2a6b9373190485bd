package io.buckthornlever.api.serving

/**
 * Answer to a watch.
 *
 * @property revision revision from which to watch on
 * @property asOfNanos monotonic time up to which the changes are complete; null when that is the time of the call
 */
public data class StateChanges(
    val changes: List<StateChange>,
    val revision: Long,
    val asOfNanos: Long? = null,
)
