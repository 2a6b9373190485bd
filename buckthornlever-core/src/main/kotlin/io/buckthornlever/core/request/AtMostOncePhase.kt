package io.buckthornlever.core.request

/** Position of one submission in [AtMostOnceMachine]. */
public enum class AtMostOncePhase {
    /** Waits for the result of the conditional create. */
    CREATING,

    /** Waits for a read of the record. */
    READING,

    /** Waits before it reads the record again. */
    WAITING,

    /** Waits for the replacement of an expired record. */
    REPLACING,

    /** The call may have been sent. */
    DISPATCHED,

    /** The caller has its answer; the outcome is being recorded. */
    RECORDING,

    /** The caller was told that the call did not run; the record is being removed. */
    RELEASING,

    /** Nothing is left to do. */
    FINISHED,
}
