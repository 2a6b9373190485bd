package io.buckthornlever.core.serving

/** What is proved about the execution of a request; only grows. */
public enum class ExecutionProof {
    /** No byte of it can have reached an upstream, or each upstream that got it said that it did not and will not run it. */
    NOT_RUN,

    /** It was sent and nothing proves that it did not run. */
    MAY_HAVE_RUN,

    /** An upstream has answered it. */
    HAS_RUN,
    ;

    /** The stronger claim of the two. */
    public fun strongerOf(other: ExecutionProof): ExecutionProof = if (other > this) other else this
}
