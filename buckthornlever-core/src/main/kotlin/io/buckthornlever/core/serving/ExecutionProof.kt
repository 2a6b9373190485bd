package io.buckthornlever.core.serving

/** What is proved about the execution of a request, from the weakest to the strongest claim. Over time it only gets stronger. */
public enum class ExecutionProof {
    /** No byte of it can have reached an upstream, or every upstream that received it stated that it did not and will not run it. */
    NOT_RUN,

    /** It was sent and nothing proves that it did not run. */
    MAY_HAVE_RUN,

    /** An upstream has responded to it. */
    HAS_RUN,
    ;

    /** Returns the stronger of the two claims. */
    public fun strongerOf(other: ExecutionProof): ExecutionProof = if (other > this) other else this
}
