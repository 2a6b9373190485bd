package io.buckthornlever.core.serving

/** What the process waits for on a connection of a caller. */
public enum class HolderPhase {
    /** For a new request. */
    IDLE,

    /** For the rest of a request, from the caller. */
    READING,

    /** For the response to a request, which the process itself has to produce. */
    SERVING,

    /** For the caller to read a response. */
    WRITING,

    /** For nothing: the connection is closed. */
    CLOSED,
}
