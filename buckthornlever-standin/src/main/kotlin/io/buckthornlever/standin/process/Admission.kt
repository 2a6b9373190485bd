package io.buckthornlever.standin.process

/** Decision of an upstream about a request that arrives. */
internal enum class Admission {
    ADMITTED,
    OVERLOADED,

    /** A cold upstream that gets more than it bears dies. */
    FATAL,
}
