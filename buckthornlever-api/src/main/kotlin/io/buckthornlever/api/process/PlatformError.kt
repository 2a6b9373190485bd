package io.buckthornlever.api.process

import java.time.Duration

/** Errors of the instance list, the cloud API and the weight store. */
public sealed interface PlatformError {
    /** The service did not answer or answered with a server error. */
    public data class Unavailable(
        val detail: String,
    ) : PlatformError

    /** The call budget is used up. */
    public data class RateLimited(
        val retryAfter: Duration,
    ) : PlatformError

    /** The service refused the call, for example a start without capacity. */
    public data class Refused(
        val detail: String,
    ) : PlatformError
}
