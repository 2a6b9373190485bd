package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/**
 * Signed part of every message.
 *
 * @property version protocol version of [payload]
 * @property maxVersion highest protocol version that the sender supports
 * @property incarnation start time of the sender's process; messages of an earlier incarnation are rejected
 * @property sequence increases with every message that the sender's process sends, to any recipient
 */
@Serializable
@CborArray
internal class Envelope(
    val site: String,
    val version: Int,
    val maxVersion: Int,
    val sender: InstanceId,
    val recipient: InstanceId,
    val incarnation: Long,
    val sequence: Long,
    @ByteString val payload: ByteArray,
)
