package io.buckthornlever.core.serving

/** Result of choosing an upstream for a request. */
public sealed interface Placement {
    /** The request goes to [upstream]. */
    public data class Chosen(
        val upstream: UpstreamEntry,
    ) : Placement

    /** There are eligible upstreams, but none has capacity now. */
    public data object Busy : Placement

    /**
     * Every upstream that could take the request has asked this instance for a pause.
     *
     * @property returnNanos monotonic time at which the first pause of an upstream of the service ends
     * @property untriedReturnNanos the same for those that the request has not been sent to; null if there are none
     */
    public data class Paused(
        val returnNanos: Long,
        val untriedReturnNanos: Long?,
    ) : Placement

    /** No upstream is eligible for the request. */
    public data object NoUpstream : Placement
}
