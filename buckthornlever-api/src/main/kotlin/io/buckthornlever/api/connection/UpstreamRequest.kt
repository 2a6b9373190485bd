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
 * @property mayReuseConnection false if the call needs a connection that has carried no other one, because the copy of an earlier
 * response on a reused connection could be taken for the proof that this call has not run, or for its recorded outcome
 */
public class UpstreamRequest(
    public val id: RequestId,
    public val method: String,
    public val path: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val timeoutMillis: Long,
    public val progressTimeoutMillis: Long,
    public val mayReuseConnection: Boolean = false,
)
