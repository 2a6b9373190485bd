package io.buckthornlever.core.serving

/** Result of placing a request. */
public sealed interface Placement {
    /** The request goes to [upstream]. */
    public data class Chosen(
        val upstream: UpstreamEntry,
    ) : Placement

    /** There are upstreams, but none has room now. */
    public data object Busy : Placement

    /** There is no upstream that may take the request. */
    public data object NoUpstream : Placement
}
