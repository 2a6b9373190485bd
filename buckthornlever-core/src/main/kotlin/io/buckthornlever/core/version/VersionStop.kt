package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.version.MoveId
import kotlinx.serialization.Serializable

/**
 * States that the new version of a move is bad. It is never revoked; it ends when the move is removed from the pool table.
 *
 * @property raisedAt when the evidence reached the bound, as an ISO-8601 instant
 */
@Serializable
public data class VersionStop(
    val move: MoveId,
    val reason: String,
    val raisedAt: String,
    val raisedBy: InstanceId,
)
