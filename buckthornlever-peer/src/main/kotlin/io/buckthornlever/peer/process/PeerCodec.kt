package io.buckthornlever.peer.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.onFailure
import io.buckthornlever.api.connection.PeerRejection
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.PeerMessage

/** Turns messages into authenticated bytes and back; drops and counts what fails a check. Safe for use by several threads. */
public class PeerCodec(
    identity: PeerIdentity,
    private val counters: PeerCounters,
    versions: ProtocolVersions = ProtocolVersions(),
    keys: () -> PeerKeys,
) {
    private val authenticator = MessageAuthenticator(identity, versions, keys)

    /** A message with its authenticated sender. */
    public data class Received<T>(
        val from: InstanceId,
        val message: T,
    )

    /** Datagram for [to]; null when the message is larger than [MAX_DATAGRAM_BYTES]. */
    public fun datagram(to: InstanceId, message: PeerMessage): ByteArray? =
        signIfWithin(to, PeerCbor.encode(PeerMessage.serializer(), message), MAX_DATAGRAM_BYTES)

    /** Frame for [to] without its length; null when the message is larger than [MAX_FRAME_BYTES]. */
    public fun frame(to: InstanceId, message: BulkMessage): ByteArray? =
        signIfWithin(to, Compression.deflate(PeerCbor.encode(BulkMessage.serializer(), message)), MAX_FRAME_BYTES)

    /** Checks and decodes a datagram. */
    public fun openDatagram(bytes: ByteArray): Result<Received<PeerMessage>, PeerRejection> =
        verifyAndDecode(bytes, MAX_DATAGRAM_BYTES) { PeerCbor.decode(PeerMessage.serializer(), it) }

    /** Checks and decodes a frame. */
    public fun openFrame(bytes: ByteArray): Result<Received<BulkMessage>, PeerRejection> =
        verifyAndDecode(bytes, MAX_FRAME_BYTES) { payload -> Compression.inflate(payload)?.let { PeerCbor.decode(BulkMessage.serializer(), it) } }

    private fun signIfWithin(to: InstanceId, payload: ByteArray, limit: Int): ByteArray? = authenticator.sign(to, payload).takeIf { it.size <= limit }

    private fun <T : Any> verifyAndDecode(bytes: ByteArray, limit: Int, decode: (ByteArray) -> T?): Result<Received<T>, PeerRejection> =
        authenticator.verify(bytes, limit).andThen { opened ->
            val message = decode(opened.payload)
            if (message == null) Err(PeerRejection.MALFORMED) else Ok(Received(opened.sender, message))
        }.onFailure { counters.countRejection(it) }

    public companion object {
        /** Fits an Ethernet frame with IP and UDP headers and a tunnel. */
        public const val MAX_DATAGRAM_BYTES: Int = 1_200

        /** Largest frame over TCP, without its length. */
        public const val MAX_FRAME_BYTES: Int = 1_048_576
    }
}
