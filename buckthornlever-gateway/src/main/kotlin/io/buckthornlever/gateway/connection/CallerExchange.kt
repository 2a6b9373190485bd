package io.buckthornlever.gateway.connection

/** A request in work, as its connection sees it. */
public interface CallerExchange {
    /** The caller has closed the connection. */
    public fun onCallerDisconnected()

    /** The caller reads more slowly than the answer arrives, or has caught up again. */
    public fun onWritabilityChanged(writable: Boolean)
}
