package io.buckthornlever.core.serving

/** What an upstream says in a response about the requests that it takes from all instances together. */
public sealed interface StatedLimit {
    /** It names no limit, or none any more. */
    public data object None : StatedLimit

    /** It takes [rate] requests per second. */
    public data class PerSecond(
        val rate: Double,
    ) : StatedLimit

    /** It names a limit that is not a number of requests; the one that it named before stays in force. */
    public data object Unreadable : StatedLimit
}
