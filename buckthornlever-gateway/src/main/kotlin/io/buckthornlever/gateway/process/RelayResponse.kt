package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateChange
import kotlinx.serialization.Serializable

/**
 * What a relay tells a follower.
 *
 * @property revision revision from which to ask on
 * @property asOfOffsetNanos time of the relay up to which the changes are complete, counted from the arrival of the question there.
 * Added to the time at which the follower sent it, it never claims more than is true, however long either side stood still.
 */
@Serializable
internal data class RelayResponse(
    val changes: List<StateChange>,
    val revision: Long,
    val asOfOffsetNanos: Long,
)
