package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.Cbor

/** Encodes and decodes the CBOR messages between instances. */
@OptIn(ExperimentalSerializationApi::class)
internal object CborCodec {
    /** Fields that a later release has added are ignored. */
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun <T> encode(
        serializer: SerializationStrategy<T>,
        value: T,
    ): ByteArray = cbor.encodeToByteArray(serializer, value)

    /** Decodes [bytes], which may come from anyone; the error says why they are no valid message. */
    fun <T> decode(
        serializer: DeserializationStrategy<T>,
        bytes: ByteArray,
    ): Result<T, String> {
        // The decoder of the library does not return on some truncated input.
        if (!CborSyntax.isCompleteItem(bytes)) return Err("truncated or malformed CBOR")
        return try {
            Ok(cbor.decodeFromByteArray(serializer, bytes))
        } catch (e: SerializationException) {
            Err(e.message ?: "undecodable CBOR")
        } catch (e: IllegalArgumentException) {
            // Thrown for some numbers that are out of range.
            Err(e.message ?: "CBOR value out of range")
        } catch (e: IllegalStateException) {
            // Thrown for items of another type than expected.
            Err(e.message ?: "unexpected CBOR item")
        } catch (e: Error) {
            // Whoever decodes a response waits for a result.
            Err("CBOR not decoded: $e")
        }
    }
}
