package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateChange
import kotlinx.serialization.Serializable

/**
 * Response of a relay to a follower.
 *
 * @property revision revision from which to continue
 * @property asOfOffsetNanos time up to which the changes are complete, relative to the arrival of the request at the relay. The
 * follower adds it to the time at which it sent the request. The sum is never too late, even if either side was paused meanwhile.
 * @property version version of [PeerProtocol] of the response
 */
@Serializable
internal data class RelayResponse(
    val changes: List<StateChange>,
    val revision: Long,
    val asOfOffsetNanos: Long,
    val version: Int = PeerProtocol.UNSTATED,
)
