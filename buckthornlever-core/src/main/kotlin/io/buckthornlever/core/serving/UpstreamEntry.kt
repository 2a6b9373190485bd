package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.DiscoveredUpstream

/** State of one upstream as known to this instance. */
public class UpstreamEntry internal constructor(
    upstream: DiscoveredUpstream,
    internal val firstSeenNanos: Long,
) {
    internal var loadOfOtherInstances = 0
    internal var loadReportedNanos: Long? = null
    internal var pendingTokens = 0L
    internal var failureRate = 0.0
    internal var ejectedUntil = Long.MIN_VALUE
    internal var consecutiveEjections = 0
    internal var coldUntil = Long.MIN_VALUE
    internal var lapsedAt: Long? = null
    internal var announcedLeaving = false
    internal var lastSentNanos = Long.MIN_VALUE / 2
    internal val hash: Long = StableHash.of(upstream.id.value)

    /** What it has said about itself in its responses. */
    public val statements: UpstreamStatements = UpstreamStatements()

    /** Its latest registration. */
    public var upstream: DiscoveredUpstream = upstream
        internal set

    /** Requests from this instance that are in flight at the upstream. */
    public var inFlight: Int = 0
        internal set

    /** Requests of all instances: those of other instances as of its last report, and those in flight from this instance. */
    public val load: Int get() = inFlight + loadOfOtherInstances

    /** True once it has announced its end, in its registration or in a response. */
    public val isLeaving: Boolean get() = upstream.leaving || statements.leavingSinceNanos != null

    /** True while the upstream is cold and can take only a limited request rate. */
    public fun isCold(nanos: Long): Boolean = nanos < coldUntil
}
