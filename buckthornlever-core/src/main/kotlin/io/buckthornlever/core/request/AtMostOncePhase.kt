package io.buckthornlever.core.request

/** Phase of one submission in [AtMostOnceMachine]. */
public enum class AtMostOncePhase {
    /** Waiting for the result of the conditional create. */
    CREATING,

    /** Waiting for a read of the record. */
    READING,

    /** Waiting for a timer before the record is read again. */
    WAITING,

    /** Waiting for the replacement of an expired record. */
    REPLACING,

    /** The call may have been sent. */
    DISPATCHED,

    /** The caller has its answer; the outcome is being recorded. */
    RECORDING,

    /** The caller was told that the call did not run; the record is being removed. */
    RELEASING,

    /** The submission has been answered and no work is left. */
    FINISHED,
}
