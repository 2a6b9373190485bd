package io.buckthornlever.api.request

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Class of service of a request; determines its priority, retries and hedging. */
@Serializable
public enum class WorkClass {
    /** Short request for which a person waits; served before [LONG] ones. */
    @SerialName("interactive")
    INTERACTIVE,

    /** Long generation that has to complete, even if slowly. */
    @SerialName("long")
    LONG,

    /** Idempotent read; may be retried and hedged. */
    @SerialName("lookup")
    LOOKUP,

    /** Request that is executed at most once. */
    @SerialName("non-repeatable")
    NON_REPEATABLE,
    ;

    /** True when the same request may be executed more than once. */
    public val idempotent: Boolean get() = this != NON_REPEATABLE
}
