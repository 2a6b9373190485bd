package io.buckthornlever.api.connection

import io.buckthornlever.api.request.RequestId

/**
 * One attempt to send a request to an upstream.
 *
 * @property id identity of the attempt; differs between attempts of the same request
 * @property path path with query string
 * @property headers end-to-end headers; hop-by-hop headers and credentials are already removed
 * @property timeoutMillis longest time for the whole response, in milliseconds
 * @property progressTimeoutMillis longest time without any byte from the upstream, in milliseconds
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
