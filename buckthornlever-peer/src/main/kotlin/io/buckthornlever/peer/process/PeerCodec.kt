package io.buckthornlever.peer.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.onFailure
import io.buckthornlever.api.connection.PeerRejection
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.PeerMessage

/** Encodes and signs messages, verifies and decodes received ones, and counts those that it rejects. Thread-safe. */
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

    /** Returns the signed datagram for [to], or null if it would be larger than [MAX_DATAGRAM_BYTES]. */
    public fun encodeDatagram(to: InstanceId, message: PeerMessage): ByteArray? =
        signIfWithin(to, PeerCbor.encode(PeerMessage.serializer(), message), MAX_DATAGRAM_BYTES)

    /** Returns the signed frame for [to] without its length prefix, or null if it would be larger than [MAX_FRAME_BYTES]. */
    public fun encodeFrame(to: InstanceId, message: BulkMessage): ByteArray? =
        signIfWithin(to, Compression.deflate(PeerCbor.encode(BulkMessage.serializer(), message)), MAX_FRAME_BYTES)

    /** Verifies and decodes a datagram. */
    public fun decodeDatagram(bytes: ByteArray): Result<Received<PeerMessage>, PeerRejection> =
        verifyAndDecode(bytes, MAX_DATAGRAM_BYTES) { PeerCbor.decode(PeerMessage.serializer(), it) }

    /** Verifies, inflates and decodes a frame. */
    public fun decodeFrame(bytes: ByteArray): Result<Received<BulkMessage>, PeerRejection> =
        verifyAndDecode(bytes, MAX_FRAME_BYTES) { payload ->
            Compression.inflate(payload)?.let { PeerCbor.decode(BulkMessage.serializer(), it) }
        }

    private fun signIfWithin(to: InstanceId, payload: ByteArray, limit: Int): ByteArray? =
        authenticator.sign(to, payload).takeIf { it.size <= limit }

    private fun <T : Any> verifyAndDecode(bytes: ByteArray, limit: Int, decode: (ByteArray) -> T?): Result<Received<T>, PeerRejection> =
        authenticator.verify(bytes, limit).andThen { verified ->
            val message = decode(verified.payload)
            if (message == null) Err(PeerRejection.MALFORMED) else Ok(Received(verified.sender, message))
        }.onFailure { counters.countRejection(it) }

    public companion object {
        /** Largest datagram. Fits into an Ethernet frame together with IP, UDP and tunnel headers. */
        public const val MAX_DATAGRAM_BYTES: Int = 1_200

        /** Largest frame over TCP, without its length prefix. */
        public const val MAX_FRAME_BYTES: Int = 1_048_576
    }
}
