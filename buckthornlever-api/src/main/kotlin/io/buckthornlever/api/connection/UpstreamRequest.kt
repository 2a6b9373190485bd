package io.buckthornlever.api.connection

import io.buckthornlever.api.request.RequestId

/**
 * One attempt to have a call answered by an upstream.
 *
 * @property id identity of the attempt; differs between attempts of the same request
 * @property path path with query string
 * @property headers end-to-end headers; hop-by-hop headers and credentials are already removed
 * @property timeoutMillis time for the whole answer, in milliseconds
 * @property progressTimeoutMillis longest accepted silence, in milliseconds
 */
public class UpstreamRequest(
    public val id: RequestId,
    public val method: String,
    public val path: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val timeoutMillis: Long,
    public val progressTimeoutMillis: Long,
)
