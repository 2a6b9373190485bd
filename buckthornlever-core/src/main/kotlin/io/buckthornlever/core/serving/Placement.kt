package io.buckthornlever.core.serving

/** Result of choosing an upstream for a request. */
public sealed interface Placement {
    /** The request goes to [upstream]. */
    public data class Chosen(
        val upstream: UpstreamEntry,
    ) : Placement

    /** There are eligible upstreams, but none has capacity now. */
    public data object Busy : Placement

    /** No upstream is eligible for the request. */
    public data object NoUpstream : Placement
}
