package io.buckthornlever.api.connection

import java.io.Closeable
import java.io.InputStream

/**
 * Head of an upstream's answer and its body as a stream. Closing it before the end cancels the call.
 *
 * @property body reads throw `IOException` when the connection breaks or stays silent past the progress timeout
 */
public class UpstreamResponse(
    public val status: Int,
    public val headers: List<Header>,
    public val body: InputStream,
    private val onClose: () -> Unit,
) : Closeable {
    override fun close(): Unit = onClose()
}
