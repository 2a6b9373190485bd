package io.buckthornlever.standin.request

/** How the execution of a request by an engine ended. */
public enum class EngineOutcome {
    /** All tokens were generated. */
    COMPLETED,

    /** A cancel call ended it. */
    CANCELLED,

    /** The client closed its connection. */
    DISCONNECTED,

    /** The engine died. */
    CRASHED,
}
