package io.buckthornlever.api.process

import java.time.Duration

/** Errors of the instance list, the cloud API and the weight store. */
public sealed interface PlatformError {
    /** The service did not respond, or responded with a server error or an unreadable body. */
    public data class Unavailable(
        val detail: String,
    ) : PlatformError

    /** The rate limit of the service is exceeded. */
    public data class RateLimited(
        val retryAfter: Duration,
    ) : PlatformError

    /** The service refused the call, for example a start for which it has no capacity. */
    public data class Refused(
        val detail: String,
    ) : PlatformError
}
