package io.buckthornlever.api.serving

/**
 * Part of a listing.
 *
 * @property more true when the listing goes on after the last object
 * @property revision revision of the store as of the listing
 */
public data class StatePage(
    val objects: List<StateObject>,
    val more: Boolean,
    val revision: Long,
)
