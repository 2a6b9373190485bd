package io.buckthornlever.api.serving

/**
 * A change of one object.
 *
 * @property deleted true when the object is gone
 */
public data class StateChange(
    val changed: StateObject,
    val deleted: Boolean,
)
