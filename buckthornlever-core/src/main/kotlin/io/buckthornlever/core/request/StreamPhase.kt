package io.buckthornlever.core.request

/** Position of a stream in [StreamMachine]. */
public enum class StreamPhase {
    /** An attempt was ordered; nothing has arrived from it. */
    OPENING,

    /** Tokens arrive. */
    STREAMING,

    /** The connection is silent and its upstream is being probed. */
    PROBING,

    /** The caller has the complete answer. */
    COMPLETE,

    /** The stream ended without a complete answer. */
    FAILED,
}
