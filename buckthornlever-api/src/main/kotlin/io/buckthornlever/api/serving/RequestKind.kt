package io.buckthornlever.api.serving

/** What may be repeated for the requests of a route. */
public enum class RequestKind {
    /** May run any number of times. */
    SAFE,

    /** Runs at most once for each attempt of the caller. */
    NON_IDEMPOTENT,

    /** Answered by a series of events; runs at most once unless the route is resumable. */
    STREAM,
}
