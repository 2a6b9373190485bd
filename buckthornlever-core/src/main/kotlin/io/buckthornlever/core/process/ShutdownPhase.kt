package io.buckthornlever.core.process

/** Position of an entry instance in its shutdown. */
public enum class ShutdownPhase {
    /** No shutdown was ordered. */
    SERVING,

    /** The instance is no longer ready; requests in progress and late arrivals are served. */
    DRAINING,

    /** The end is near; requests that another instance can continue are handed over. */
    HANDING_OVER,

    /** The listeners are closed and the process may exit. */
    STOPPED,
}
