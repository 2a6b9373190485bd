@file:OptIn(ExperimentalSerializationApi::class)

package io.buckthornlever.gateway.process

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * Load figures of upstreams in a message between instances.
 *
 * @property sentNanos monotonic time at which the message was sent, on the clock of the sender
 * @property figures the figures as `LoadFigureCodec` of the core encodes them
 */
@Serializable
internal class SharedLoads(
    val sentNanos: Long,
    @ByteString val figures: ByteArray,
) {
    override fun equals(other: Any?): Boolean =
        other is SharedLoads && sentNanos == other.sentNanos && figures.contentEquals(other.figures)

    override fun hashCode(): Int = figures.contentHashCode()
}
