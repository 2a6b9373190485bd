package io.buckthornlever.core.serving

/**
 * One event of a stream.
 *
 * @property bytes the event as received, with the empty line that ends it
 * @property id its number; null when it has none
 */
public class ServerSentEvent(
    public val bytes: ByteArray,
    public val id: Long?,
)
