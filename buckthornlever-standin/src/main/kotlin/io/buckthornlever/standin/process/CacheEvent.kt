package io.buckthornlever.standin.process

/** A change of an engine's prefix cache. */
internal data class CacheEvent(
    val sequence: Long,
    val atNanos: Long,
    val kind: String,
    val blocks: List<String>,
)
