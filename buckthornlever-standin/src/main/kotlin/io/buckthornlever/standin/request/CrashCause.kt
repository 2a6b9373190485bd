package io.buckthornlever.standin.request

/** Why an upstream died. */
public enum class CrashCause {
    /** More requests at once than a cold upstream bears. */
    COLD_OVERLOAD,

    /** A request that contained the crash marker. */
    MARKER,

    /** The end of the notice of a reclaim. */
    RECLAIM,

    /** A call of `crash()`. */
    DEMAND,
}
