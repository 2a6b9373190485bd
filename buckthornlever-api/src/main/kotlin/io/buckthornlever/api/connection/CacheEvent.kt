package io.buckthornlever.api.connection

/**
 * Change of an engine's prefix cache; events arrive late and with gaps.
 *
 * @property sequence position in the engine's stream of events; a gap means lost events
 * @property kind what happened to the blocks, in the engine's words
 * @property blocks hashes of prefix blocks
 */
public data class CacheEvent(
    val sequence: Long,
    val kind: String,
    val blocks: List<String>,
)
