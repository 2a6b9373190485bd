package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.buckthornlever.api.serving.StoreRevision

/**
 * Versions of the messages between instances. An instance states the version that it knows in its registration, and both sides of a
 * message use the lower one of theirs.
 *
 * Releases that state no version reject messages with fields or types that they do not know, and some of them know revisions of the
 * store without the era. They get each message as they know it, see [unversioned]. Messages of a version are [PeerDatagram]s, which
 * those releases reject as a whole, so that a process of such a release that has just taken over a name does not misread one.
 */
internal object PeerProtocol {
    /** Version of releases that state none. */
    const val UNSTATED = 0

    /** Version of this release: revisions have an era, and fields that the receiver does not know are ignored. */
    const val CURRENT = 1

    /** Major type of a CBOR map; messages of releases that state no version are arrays. */
    private const val MAP_TYPE = 5
    private const val TYPE_SHIFT = 5
    private const val BYTE_MASK = 0xff

    /** Encodes [message] for an instance that knows [version]; returns null if there is nothing to send to it. */
    fun encode(
        message: PeerMessage,
        version: Int,
    ): ByteArray? {
        if (version > UNSTATED) {
            return CborCodec.encode(PeerDatagram.serializer(), PeerDatagram(minOf(version, CURRENT), message))
        }
        return unversioned(message)?.let { CborCodec.encode(PeerMessage.serializer(), it) }
    }

    /** Decodes [bytes], which may come from anyone; the error says why they are no valid message. */
    fun decode(bytes: ByteArray): Result<PeerDatagram, String> {
        val isVersioned = bytes.isNotEmpty() && (bytes[0].toInt() and BYTE_MASK) shr TYPE_SHIFT == MAP_TYPE
        if (isVersioned) return CborCodec.decode(PeerDatagram.serializer(), bytes)
        return CborCodec.decode(PeerMessage.serializer(), bytes).map { PeerDatagram(UNSTATED, it) }
    }

    /** Returns what releases that state no version understand of [message]; null if they would misread it or do not know its type. */
    private fun unversioned(message: PeerMessage): PeerMessage? =
        when (message) {
            is PeerMessage.State -> message.copy(firstOpenWindow = null, ended = emptyList(), loads = null, accountRates = emptyMap())
            is PeerMessage.Overview ->
                message.copy(firstOpenWindow = null, reportedThrough = null, loads = null, accountRates = emptyMap())
            is PeerMessage.HolderStatus ->
                // Some of these releases expect the version with the era and some without, and none knows of an uncertain one. They
                // read the lease instead.
                message.takeIf { !it.isUncertain && StoreRevision.eraOf(it.leaseVersion) == 0L }?.copy(ended = emptyList())
            is PeerMessage.CreditRequest, is PeerMessage.CreditResponse, is PeerMessage.CreditReturn -> null
            is PeerMessage.ChargeRequest, is PeerMessage.ChargeResponse, is PeerMessage.ChargeRefund -> message
            is PeerMessage.SuspectParts, is PeerMessage.VersionEvidence -> message
        }
}
