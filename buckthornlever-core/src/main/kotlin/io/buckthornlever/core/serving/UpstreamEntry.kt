package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.DiscoveredUpstream
import java.time.Duration

/** State of one upstream as known to this instance. */
public class UpstreamEntry internal constructor(
    upstream: DiscoveredUpstream,
    internal val firstSeenNanos: Long,
) {
    internal var loadOfOtherInstances = 0
    internal var loadReportedNanos: Long? = null
    internal var pendingTokens = 0L
    private var failureRate = 0.0
    private var outcomeNanos = 0L
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
    private val load: Int get() = inFlight + loadOfOtherInstances

    /** Requests that it is expected to hold: those of this instance, and those of others, which count less the older its report is. */
    public fun expectedLoad(nanos: Long): Double {
        val age = nanos - (loadReportedNanos ?: return inFlight.toDouble())
        return inFlight + loadOfOtherInstances * (1.0 - age.toDouble() / MAX_LOAD_AGE_NANOS).coerceIn(0.0, 1.0)
    }

    /** Share of its requests that is expected to fail; what it did counts less the longer it has had no request. */
    internal fun expectedFailureRate(nanos: Long): Double =
        failureRate * (1.0 - (nanos - outcomeNanos).toDouble() / MAX_FAILURE_AGE_NANOS).coerceIn(0.0, 1.0)

    /** Records whether a request [failed]. */
    internal fun onOutcome(
        failed: Boolean,
        nanos: Long,
    ) {
        val rate = expectedFailureRate(nanos)
        failureRate = rate + FAILURE_WEIGHT * ((if (failed) 1.0 else 0.0) - rate)
        outcomeNanos = nanos
    }

    /**
     * True while no slot can be expected to be free. Its requests take [requestTime] each and leave the slots in turn, so a report
     * of full slots holds for the time until one is free. From then on a request may find out, at that interval until there is
     * another report.
     */
    internal fun isFull(
        requestTime: Duration,
        nanos: Long,
    ): Boolean {
        val slots = upstream.slots
        if (inFlight >= slots) return true
        val endsUntilFree = load - slots + 1
        val reported = loadReportedNanos
        if (endsUntilFree <= 0 || reported == null) return false
        val timeUntilFree = requestTime.toNanos() * endsUntilFree / slots
        return nanos - maxOf(reported, lastSentNanos) < minOf(timeUntilFree, MAX_FULL_NANOS)
    }

    /** True once it has announced its end, in its registration or in a response. */
    public val isLeaving: Boolean get() = upstream.leaving || statements.leavingSinceNanos != null

    /** True while the upstream is cold and can take only a limited request rate. */
    public fun isCold(nanos: Long): Boolean = nanos < coldUntil

    private companion object {
        /** Weight of the newest outcome in the failure rate, an exponential moving average. */
        const val FAILURE_WEIGHT = 0.1

        /** Time without an outcome after which the failure rate counts as zero. */
        const val MAX_FAILURE_AGE_NANOS = 20_000_000_000L

        /** Longest time for which a report of full slots keeps requests from an upstream. */
        const val MAX_FULL_NANOS = 1_000_000_000L

        /** Age from which on a reported load no longer counts. */
        const val MAX_LOAD_AGE_NANOS = 5_000_000_000L
    }
}
