package io.buckthornlever.api.request

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What callers expect of a class of requests; decides priority, retries and hedging. */
@Serializable
public enum class WorkClass {
    /** Short work with a waiting person; served before long work. */
    @SerialName("interactive")
    INTERACTIVE,

    /** Long generation that has to finish, even slowly. */
    @SerialName("long")
    LONG,

    /** Idempotent read; may be retried and hedged. */
    @SerialName("lookup")
    LOOKUP,

    /** A call that runs at most once. */
    @SerialName("non-repeatable")
    NON_REPEATABLE,
    ;

    /** True when a second execution of the same call does no harm. */
    public val idempotent: Boolean get() = this != NON_REPEATABLE
}
