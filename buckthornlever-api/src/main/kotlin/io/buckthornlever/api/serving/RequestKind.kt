package io.buckthornlever.api.serving

/** Retry semantics of the requests of a route. */
public enum class RequestKind {
    /** May be executed any number of times. */
    SAFE,

    /** Executed at most once for each request that the caller sends. */
    NON_IDEMPOTENT,

    /** Answered by a stream of events; executed at most once unless the route is resumable. */
    STREAM,
}
