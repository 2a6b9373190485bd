package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * A change of one object.
 *
 * @property deleted true when the object is gone
 */
@Serializable
public data class StateChange(
    val changed: StateObject,
    val deleted: Boolean,
)
