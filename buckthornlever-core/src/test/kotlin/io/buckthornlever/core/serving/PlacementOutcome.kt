package io.buckthornlever.core.serving

/** What became of a request in a [PlacementSimulation]. */
internal enum class PlacementOutcome {
    SERVED,

    /** The instance found no upstream in time. */
    REFUSED,

    /** Two upstreams had no room for it. */
    REJECTED,
}
