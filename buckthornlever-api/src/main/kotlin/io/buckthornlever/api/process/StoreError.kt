package io.buckthornlever.api.process

import java.time.Duration

/** Errors of the object API. */
public sealed interface StoreError {
    /** The condition of a write does not hold; [current] is the stored version, if the store returned it. */
    public data class Conflict(
        val current: ObjectVersion?,
    ) : StoreError

    /** The object does not exist. */
    public data object NotFound : StoreError

    /** The rate limit of the store is exceeded. */
    public data class RateLimited(
        val retryAfter: Duration,
    ) : StoreError

    /** The value is larger than the store's limit of 1 MB. */
    public data object TooLarge : StoreError

    /** The call failed and certainly had no effect. */
    public data class Unavailable(
        val detail: String,
    ) : StoreError

    /** The outcome of the call is unknown: it may or may not have taken effect. */
    public data class AnswerLost(
        val detail: String,
    ) : StoreError
}
