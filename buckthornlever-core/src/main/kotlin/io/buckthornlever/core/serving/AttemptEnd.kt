package io.buckthornlever.core.serving

/** How an attempt at an upstream ended without a usable response. */
public sealed interface AttemptEnd {
    /** What this end proves about the execution of the request. */
    public val proof: ExecutionProof

    /** The upstream did not run the request: there was no connection, nothing was written, or the upstream said so. */
    public data class NotRun(
        val reason: String,
    ) : AttemptEnd {
        override val proof: ExecutionProof get() = ExecutionProof.NOT_RUN
    }

    /**
     * The connection was closed, timed out or carried bytes that are not a valid response.
     *
     * @property isConnectionLost true if the upstream's end of the connection closed or reset, as in a crash
     */
    public data class Broken(
        val reason: String,
        val isConnectionLost: Boolean = false,
    ) : AttemptEnd {
        override val proof: ExecutionProof get() = ExecutionProof.MAY_HAVE_RUN
    }

    /** The upstream responded with an error status. */
    public data class Failed(
        val status: Int,
    ) : AttemptEnd {
        override val proof: ExecutionProof get() = ExecutionProof.HAS_RUN
    }
}
