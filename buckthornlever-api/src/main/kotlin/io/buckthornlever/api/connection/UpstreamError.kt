package io.buckthornlever.api.connection

import java.time.Duration

/** Errors of a request to an upstream. */
public sealed interface UpstreamError {
    /** No byte of the request left this process. */
    public data class NotSent(
        val detail: String,
    ) : UpstreamError

    /** The upstream refused the request without executing it. */
    public data class Refused(
        val status: Int,
        val retryAfter: Duration?,
    ) : UpstreamError

    /** The connection broke after bytes of the request may have been sent. */
    public data class Broken(
        val detail: String,
    ) : UpstreamError

    /** No byte of the response arrived within the progress timeout. */
    public data class Silent(
        val waited: Duration,
    ) : UpstreamError

    /** The response does not belong to the request or cannot be decoded. */
    public data class Malformed(
        val detail: String,
    ) : UpstreamError
}
