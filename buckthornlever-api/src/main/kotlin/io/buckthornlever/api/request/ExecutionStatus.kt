package io.buckthornlever.api.request

/** What an error response says about the execution of the request. */
public enum class ExecutionStatus(
    /** Value of the `executed` member of the problem document. */
    public val wireName: String,
) {
    /** No byte of the request can have reached an upstream. */
    NOT_RUN("not-run"),

    /** The request may have been executed, in part or as a whole. */
    UNKNOWN("unknown"),
}
