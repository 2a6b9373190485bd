package io.buckthornlever.api.serving

/**
 * Part of a listing.
 *
 * @property more true when the listing goes on after the last object
 * @property revision revision of the store as of the listing
 * @property asOfNanos monotonic time from which the listing is exact; null when that is the time of the call
 */
public data class StatePage(
    val objects: List<StateObject>,
    val more: Boolean,
    val revision: Long,
    val asOfNanos: Long? = null,
)
