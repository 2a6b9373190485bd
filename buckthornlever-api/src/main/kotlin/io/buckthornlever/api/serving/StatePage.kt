package io.buckthornlever.api.serving

/**
 * One page of a listing.
 *
 * @property more true when the listing continues after the last object
 * @property revision store revision of the listing
 * @property asOfNanos monotonic time in nanoseconds as of which the listing is exact; null when that is the time of the call
 */
public data class StatePage(
    val objects: List<StateObject>,
    val more: Boolean,
    val revision: Long,
    val asOfNanos: Long? = null,
)
