package io.buckthornlever.peer.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.connection.PeerRejection
import io.buckthornlever.api.process.InstanceId
import java.security.MessageDigest
import java.util.concurrent.atomic.AtomicLong
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Signs messages and verifies received ones. The HMAC-SHA256 over the whole envelope is verified before anything is parsed.
 *
 * @param keys returns the current keys; called for each message, so that a rotated key file takes effect at once
 */
internal class MessageAuthenticator(
    private val identity: PeerIdentity,
    private val versions: ProtocolVersions,
    private val keys: () -> PeerKeys,
) {
    private val sequence = AtomicLong()
    private val replayWindow = ReplayWindow()

    fun sign(recipient: InstanceId, payload: ByteArray): ByteArray {
        val envelope = Envelope(
            identity.site,
            versions.versionFor(recipient),
            versions.max,
            identity.id,
            recipient,
            identity.incarnation,
            sequence.incrementAndGet(),
            payload,
        )
        val encoded = PeerCbor.encode(Envelope.serializer(), envelope)
        return encoded + mac(keys().signing, encoded, encoded.size)
    }

    fun verify(message: ByteArray, limit: Int): Result<VerifiedMessage, PeerRejection> {
        if (message.size > limit) return Err(PeerRejection.OVERSIZED)
        val size = message.size - MAC_BYTES
        if (size <= 0 || !isAuthentic(message, size)) return Err(PeerRejection.UNAUTHENTICATED)
        val envelope = PeerCbor.decode(Envelope.serializer(), message.copyOf(size)) ?: return Err(PeerRejection.MALFORMED)
        val rejection = findRejection(envelope)
        if (rejection != null) return Err(rejection)
        versions.updatePeer(envelope.sender, envelope.maxVersion)
        return Ok(VerifiedMessage(envelope.sender, envelope.payload))
    }

    private fun findRejection(envelope: Envelope): PeerRejection? =
        when {
            envelope.site != identity.site -> PeerRejection.FOREIGN_SITE
            envelope.recipient != identity.id || envelope.sender == identity.id -> PeerRejection.MISDIRECTED
            !versions.supports(envelope.version) -> PeerRejection.UNSUPPORTED_VERSION
            !replayWindow.accept(envelope.sender, envelope.incarnation, envelope.sequence) -> PeerRejection.REPLAYED
            else -> null
        }

    private fun isAuthentic(message: ByteArray, size: Int): Boolean {
        val receivedMac = message.copyOfRange(size, message.size)
        return keys().accepted.any { MessageDigest.isEqual(mac(it, message, size), receivedMac) }
    }

    private fun mac(key: ByteArray, bytes: ByteArray, size: Int): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(key, ALGORITHM))
        mac.update(bytes, 0, size)
        return mac.doFinal()
    }

    companion object {
        const val MAC_BYTES = 32
        private const val ALGORITHM = "HmacSHA256"
    }
}
