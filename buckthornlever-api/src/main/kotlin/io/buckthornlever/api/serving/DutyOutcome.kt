package io.buckthornlever.api.serving

/** Answer of the platform to a call of a singleton duty. */
public enum class DutyOutcome {
    ACCEPTED,

    /** A higher fencing number was seen, or the order cannot be met. */
    CONFLICT,

    /** Nothing was done; the call may be repeated. */
    REFUSED,

    /** No answer; the call may take effect, also later. */
    UNKNOWN,
}
