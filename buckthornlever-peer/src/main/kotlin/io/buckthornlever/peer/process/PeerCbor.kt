package io.buckthornlever.peer.process

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** CBOR format of peer messages, configured so that each value has exactly one encoding. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerCbor {
    private val cbor = Cbor {
        encodeDefaults = true
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray = cbor.encodeToByteArray(serializer, value)

    /** Returns the decoded value, or null if [bytes] are malformed. The decoder reports malformed input with several exception types. */
    fun <T : Any> decode(serializer: KSerializer<T>, bytes: ByteArray): T? =
        try {
            cbor.decodeFromByteArray(serializer, bytes)
        } catch (e: RuntimeException) {
            null
        }
}
