package io.buckthornlever.api.process

/**
 * Answer of a list or watch call.
 *
 * @property revision version of the store up to which the listing is complete
 */
public data class ObjectListing(
    val revision: ObjectVersion,
    val objects: List<StoredObject>,
)
