package io.buckthornlever.gateway.process

import kotlinx.serialization.Serializable

/**
 * Message as instances of this release send it to each other.
 *
 * @property version version of [PeerProtocol] of [message]
 */
@Serializable
internal data class PeerDatagram(
    val version: Int,
    val message: PeerMessage,
)
