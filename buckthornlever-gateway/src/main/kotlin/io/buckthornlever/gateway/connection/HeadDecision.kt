package io.buckthornlever.gateway.connection

/** What to do with a response after its head has arrived. */
public enum class HeadDecision {
    /** Deliver the response. */
    ACCEPT,

    /** Discard the whole response, which belongs to another request, and wait for the next one. */
    SKIP,

    /** Close the connection; the listener receives no further calls. */
    REJECT,
}
