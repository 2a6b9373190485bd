package io.buckthornlever.api.serving

/**
 * Answer to a watch.
 *
 * @property revision revision from which to watch on
 */
public data class StateChanges(
    val changes: List<StateChange>,
    val revision: Long,
)
