package io.buckthornlever.api.connection

import java.io.Closeable
import java.io.InputStream

/**
 * Head of an upstream's response, with the body as a stream. Closing it before the end cancels the request.
 *
 * @property body reads throw `IOException` when the connection breaks or nothing arrives within the progress timeout
 */
public class UpstreamResponse(
    public val status: Int,
    public val headers: List<Header>,
    public val body: InputStream,
    private val onClose: () -> Unit,
) : Closeable {
    override fun close(): Unit = onClose()
}
