package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import kotlinx.serialization.Serializable

/**
 * Fact that the new version of a move is bad. It never becomes untrue; it ends when the move leaves the pool table.
 *
 * @property raisedAt when the evidence reached the bound, as ISO-8601 instant
 */
@Serializable
public data class VersionStop(
    val move: MoveId,
    val reason: String,
    val raisedAt: String,
    val raisedBy: InstanceId,
)
