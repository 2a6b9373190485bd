package io.buckthornlever.core.request

/** Phase of a stream in [StreamMachine]. */
public enum class StreamPhase {
    /** An attempt was requested; nothing has arrived from it yet. */
    OPENING,

    /** Tokens are arriving. */
    STREAMING,

    /** The connection is silent and its upstream is being probed. */
    PROBING,

    /** The caller has the complete response. */
    COMPLETE,

    /** The stream ended without a complete response. */
    FAILED,
}
