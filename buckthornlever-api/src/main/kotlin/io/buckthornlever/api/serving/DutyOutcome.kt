package io.buckthornlever.api.serving

/** Outcome of a [SingletonDuties] call to the platform. */
public enum class DutyOutcome {
    /** The platform accepted the call. */
    ACCEPTED,

    /** The platform has seen a higher fencing token, or cannot carry out the order. */
    CONFLICT,

    /** The platform refused the call without effect; it may be retried. */
    REFUSED,

    /** No response arrived; the call may have taken effect or may still do so. */
    UNKNOWN,
}
