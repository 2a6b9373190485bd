package io.buckthornlever.api.process

/**
 * An object as read from the store.
 *
 * @property value content; null in the result of a watch when the object was deleted
 */
public data class StoredObject(
    val key: ObjectKey,
    val version: ObjectVersion,
    val value: String?,
)
