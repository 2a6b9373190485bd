package io.buckthornlever.gateway.connection

/** What to do with an answer after its head has been seen. */
public enum class HeadDecision {
    /** Deliver the answer. */
    ACCEPT,

    /** Drop the whole answer, which belongs to another request, and wait for the next one. */
    SKIP,

    /** Close the connection; the listener hears nothing more. */
    REJECT,
}
