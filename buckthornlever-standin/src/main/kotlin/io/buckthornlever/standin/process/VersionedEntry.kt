package io.buckthornlever.standin.process

/** One stored object. */
internal data class VersionedEntry(
    val key: String,
    val version: Long,
    val value: String?,
)
