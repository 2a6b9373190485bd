package io.buckthornlever.api.connection

/**
 * A change of an engine's prefix cache. Events arrive late and some are lost.
 *
 * @property sequence position in the engine's event stream; a gap means that events were lost
 * @property kind what happened to the blocks, as the engine names it
 * @property blocks hashes of the prefix blocks
 */
public data class CacheEvent(
    val sequence: Long,
    val kind: String,
    val blocks: List<String>,
)
