package io.buckthornlever.core.serving

/** What to do after an attempt ended without a usable response. */
public enum class NextStep {
    /** Send the request to another upstream; a stream resumes after its last event. */
    TRY_ANOTHER,

    /** Refuse the request with the assurance that it has not run and will not run. */
    REFUSE_NOT_RUN,

    /** Fail the request with an unknown outcome. */
    FAIL_UNKNOWN,

    /** Relay the upstream's error response to the caller. */
    RELAY_FAILURE,

    /** Abort the response, since part of it has already been sent to the caller. */
    ABORT,
}
