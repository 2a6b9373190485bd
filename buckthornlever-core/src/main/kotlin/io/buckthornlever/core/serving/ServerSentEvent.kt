package io.buckthornlever.core.serving

/**
 * One event of a stream of server-sent events.
 *
 * @property bytes the event as received, including the empty line that ends it
 * @property id value of its id field; null when it has none or the value is not an integer
 */
public class ServerSentEvent(
    public val bytes: ByteArray,
    public val id: Long?,
)
