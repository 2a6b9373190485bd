package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/**
 * Signed part of every message.
 *
 * @property version protocol version of [payload]
 * @property maxVersion highest protocol version that the sender speaks
 * @property incarnation start of the sender's process; a later one replaces an earlier one
 * @property sequence grows with every message of the sender's process
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
