package io.buckthornlever.core.serving

/** How an attempt at an upstream ended without a usable answer. */
public sealed interface AttemptEnd {
    /** What the end proves about the execution. */
    public val proof: ExecutionProof

    /** The upstream did not run the request: no connection, nothing written, or it said so. */
    public data class NotRun(
        val reason: String,
    ) : AttemptEnd {
        override val proof: ExecutionProof get() = ExecutionProof.NOT_RUN
    }

    /** The connection ended, stayed silent or carried bytes that are not the answer. */
    public data class Broken(
        val reason: String,
    ) : AttemptEnd {
        override val proof: ExecutionProof get() = ExecutionProof.MAY_HAVE_RUN
    }

    /** The upstream answered with a failure of its own. */
    public data class Failed(
        val status: Int,
    ) : AttemptEnd {
        override val proof: ExecutionProof get() = ExecutionProof.HAS_RUN
    }
}
