package io.buckthornlever.core.request

/** Phase of a job on one instance. */
public enum class JobPhase {
    /** The store has not yet confirmed the creation or the takeover of the record. */
    CLAIMING,

    /** This instance owns the job. */
    OWNED,

    /** Another instance owns the job, or the job has ended. */
    ENDED,
}
