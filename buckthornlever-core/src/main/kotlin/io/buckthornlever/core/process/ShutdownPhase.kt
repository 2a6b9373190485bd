package io.buckthornlever.core.process

/** Shutdown phase of an entry instance. */
public enum class ShutdownPhase {
    /** No shutdown was requested. */
    SERVING,

    /** The instance reports not ready but still serves requests in progress and late arrivals. */
    DRAINING,

    /** The deadline is near; requests that another instance can continue are handed over. */
    HANDING_OVER,

    /** The listeners are closed and the process may exit. */
    STOPPED,
}
