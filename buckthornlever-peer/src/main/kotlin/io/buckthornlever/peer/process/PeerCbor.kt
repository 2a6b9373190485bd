package io.buckthornlever.peer.process

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** CBOR with one encoding for each value. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerCbor {
    private val cbor = Cbor {
        encodeDefaults = true
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray = cbor.encodeToByteArray(serializer, value)

    /** The value, or null when [bytes] are not one. The decoder reports malformed input by exceptions of several types. */
    fun <T : Any> decode(serializer: KSerializer<T>, bytes: ByteArray): T? =
        try {
            cbor.decodeFromByteArray(serializer, bytes)
        } catch (e: RuntimeException) {
            null
        }
}
