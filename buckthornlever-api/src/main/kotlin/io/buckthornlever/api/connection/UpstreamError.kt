package io.buckthornlever.api.connection

import java.time.Duration

/** Errors of a call to an upstream. */
public sealed interface UpstreamError {
    /** No byte of the call left this process. */
    public data class NotSent(
        val detail: String,
    ) : UpstreamError

    /** The upstream refused the call before running it. */
    public data class Refused(
        val status: Int,
        val retryAfter: Duration?,
    ) : UpstreamError

    /** The connection broke after bytes had been sent. */
    public data class Broken(
        val detail: String,
    ) : UpstreamError

    /** Nothing arrived within the progress timeout. */
    public data class Silent(
        val waited: Duration,
    ) : UpstreamError

    /** The answer does not belong to the call or has an unknown form. */
    public data class Malformed(
        val detail: String,
    ) : UpstreamError
}
