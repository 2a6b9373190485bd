package io.buckthornlever.api.request

/** What an error answer says about the execution of the call. */
public enum class ExecutionStatus(
    /** Value of the `executed` member of the problem document. */
    public val wireName: String,
) {
    /** No byte of the call can have reached an upstream. */
    NOT_RUN("not-run"),

    /** The call may have run, in part or whole. */
    UNKNOWN("unknown"),
}
