package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * An object of the shared store.
 *
 * @property revision revision of its last change
 * @property value null when another writer left content that cannot be read
 */
@Serializable
public data class StateObject(
    val name: String,
    val revision: Long,
    val value: StateValue?,
)
