package io.buckthornlever.api.connection

import kotlinx.serialization.Serializable

/**
 * Change of an engine's prefix cache; events arrive late and with gaps.
 *
 * @property sequence position in the engine's stream of events; a gap means lost events
 * @property block hash of the prefix block
 * @property stored true when the block was stored, false when it was evicted
 */
@Serializable
public data class CacheEvent(
    val sequence: Long,
    val block: String,
    val stored: Boolean,
)
