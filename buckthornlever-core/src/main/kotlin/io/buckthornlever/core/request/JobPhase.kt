package io.buckthornlever.core.request

/** Position of a job on one instance. */
public enum class JobPhase {
    /** The record or the takeover has not been confirmed by the store. */
    CLAIMING,

    /** This instance owns the job. */
    OWNED,

    /** Another instance owns the job, or the job has ended. */
    ENDED,
}
