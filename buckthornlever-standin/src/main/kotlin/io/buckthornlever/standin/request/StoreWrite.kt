package io.buckthornlever.standin.request

/**
 * A write that took effect in the object store.
 *
 * @property value new content; null for a deletion
 */
public data class StoreWrite(
    val key: String,
    val version: Long,
    val value: String?,
)
