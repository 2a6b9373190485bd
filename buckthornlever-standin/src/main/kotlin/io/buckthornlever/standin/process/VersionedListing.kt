package io.buckthornlever.standin.process

/** Objects and the revision up to which they are complete. */
internal data class VersionedListing(
    val revision: Long,
    val objects: List<VersionedEntry>,
)
