package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * An object of the shared store.
 *
 * @property revision store revision of its last change, a [StoreRevision]
 * @property value decoded content; null when the stored content cannot be decoded
 */
@Serializable
public data class StateObject(
    val name: String,
    val revision: Long,
    val value: StateValue?,
)
