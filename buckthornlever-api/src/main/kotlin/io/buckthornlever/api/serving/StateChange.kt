package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * A change of one object in the shared store.
 *
 * @property deleted true when the change deleted the object
 */
@Serializable
public data class StateChange(
    val changed: StateObject,
    val deleted: Boolean,
)
