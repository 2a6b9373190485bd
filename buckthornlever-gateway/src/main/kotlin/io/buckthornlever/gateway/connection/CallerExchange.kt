package io.buckthornlever.gateway.connection

/** A request that is being served, as seen by its connection. */
public interface CallerExchange {
    /** The caller has closed the connection. */
    public fun onCallerDisconnected()

    /** [writable] is false when the caller reads more slowly than the response arrives, and true once it has caught up. */
    public fun onWritabilityChanged(writable: Boolean)

    /** The process ends at once; a request that has no final response yet gets one now. */
    public fun onProcessEnding(): Unit = Unit
}
