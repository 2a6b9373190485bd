package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.DiscoveredUpstream

/** What this instance knows about one upstream. */
public class UpstreamEntry internal constructor(
    upstream: DiscoveredUpstream,
) {
    internal var othersLoad = 0
    internal var pendingTokens = 0L
    internal var failureRate = 0.0
    internal var ejectedUntil = Long.MIN_VALUE
    internal var ejections = 0
    internal var coldUntil = Long.MIN_VALUE
    internal var lapsedAt: Long? = null
    internal var announcedLeaving = false
    internal val hash: Long = StableHash.of(upstream.id.value)

    /** Its registration. */
    public var upstream: DiscoveredUpstream = upstream
        internal set

    /** Requests of this instance that it runs. */
    public var inFlight: Int = 0
        internal set

    /** Requests of all instances, from its last report and what this instance has sent since. */
    public val load: Int get() = inFlight + othersLoad

    /** True while it bears little load. */
    public fun isCold(nanos: Long): Boolean = nanos < coldUntil
}
