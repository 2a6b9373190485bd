package io.buckthornlever.api.process

/**
 * Result of a list or watch call.
 *
 * @property revision store version up to which the listing is complete
 */
public data class ObjectListing(
    val revision: ObjectVersion,
    val objects: List<StoredObject>,
)
