package io.buckthornlever.bench.request

/** Kind of a call that the traffic generator makes. */
internal enum class CallKind {
    LONG_STREAM,
    BRIEF,
    NON_REPEATABLE,
    LOOKUP,
}
