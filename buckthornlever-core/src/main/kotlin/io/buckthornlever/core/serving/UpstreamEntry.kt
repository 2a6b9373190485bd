package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.DiscoveredUpstream
import java.time.Duration
import kotlin.math.exp
import kotlin.math.ln

/** State of one upstream as known to this instance. */
public class UpstreamEntry internal constructor(
    upstream: DiscoveredUpstream,
    internal val firstSeenNanos: Long,
) {
    internal var loadOfOtherInstances = 0
        private set
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
    private val sentNanos = LongArray(SENT_TIMES) { Long.MIN_VALUE }
    private var sentCount = 0
    private val partKeys = LongArray(PARTS)
    private val partNanos = LongArray(PARTS) { Long.MIN_VALUE }
    private var logPaceRatio = 0.0
    private var paceNanos = 0L

    /** What it has said about itself in its responses. */
    public val statements: UpstreamStatements = UpstreamStatements()

    /** Its latest registration. */
    public var upstream: DiscoveredUpstream = upstream
        internal set(value) {
            field = value
            life = lifeOf(value)
        }

    /** Key of the upstream and its present process in messages between instances. */
    internal var life: Int = lifeOf(upstream)
        private set

    /** Requests from this instance that are in flight at the upstream. */
    public var inFlight: Int = 0
        internal set

    /** The newest load figure; null before the first one. */
    internal var figure: LoadFigure? = null
        private set

    /** True if the upstream stated [figure] to this instance, false if another instance passed it on. */
    internal var isFigureOwn = false
        private set

    /** Time of the newest figure that was sent to the lease holder, or by it to all instances. */
    internal var sharedFigureNanos = Long.MIN_VALUE

    /** Time of the newest load figure; null before the first one. */
    internal val loadReportedNanos: Long? get() = figure?.nanos

    /** Age of the newest load figure; null before the first one. */
    public fun figureAge(nanos: Long): Duration? = figure?.let { Duration.ofNanos(nanos - it.nanos) }

    /** Requests that it can run at once: as registered, or fewer if it states so. */
    public val slots: Int get() = minOf(upstream.slots, figure?.slots ?: Int.MAX_VALUE)

    /** Requests of other instances as of its last figure, as a share of its slots. */
    internal val loadShareOfOtherInstances: Double get() = loadOfOtherInstances.toDouble() / maxOf(1, slots)

    /** Requests of all instances: those of other instances as of its last report, and those in flight from this instance. */
    private val load: Int get() = inFlight + loadOfOtherInstances

    /** Requests that it is expected to hold: those of this instance, and those of others, which count less the older its report is. */
    public fun expectedLoad(nanos: Long): Double {
        val age = nanos - (loadReportedNanos ?: return inFlight.toDouble())
        return inFlight + loadOfOtherInstances * (1.0 - age.toDouble() / MAX_LOAD_AGE_NANOS).coerceIn(0.0, 1.0)
    }

    /** Requests of other instances that [newFigure] contains: all but those of this instance that it had been sent by then. */
    internal fun othersIn(newFigure: LoadFigure): Int =
        maxOf(0, newFigure.total - maxOf(0, inFlight - sentNanos.count { it > newFigure.nanos }))

    /** Replaces the load figure by [newFigure], which contains [others] requests of other instances. */
    internal fun updateFigure(
        newFigure: LoadFigure,
        others: Int,
        isOwn: Boolean,
    ) {
        figure = newFigure
        isFigureOwn = isOwn
        loadOfOtherInstances = others
    }

    /** Records that a request is sent to the upstream. */
    internal fun onSent(nanos: Long) {
        inFlight++
        lastSentNanos = nanos
        sentNanos[sentCount] = nanos
        sentCount = (sentCount + 1) % SENT_TIMES
        statements.onSent()
    }

    /** Records that it has read the shared prompt part [key]. */
    internal fun onPartRead(
        key: Long,
        nanos: Long,
    ) {
        var index = partKeys.indices.firstOrNull { partKeys[it] == key && partNanos[it] != Long.MIN_VALUE }
        if (index == null) index = partNanos.indices.minBy { partNanos[it] }
        partKeys[index] = key
        partNanos[index] = nanos
    }

    /** True if it has read the shared prompt part [key] for this instance not long ago. */
    internal fun holdsPart(
        key: Long,
        nanos: Long,
    ): Boolean {
        for (i in 0 until PARTS) if (partKeys[i] == key && partNanos[i] != Long.MIN_VALUE) return nanos - partNanos[i] <= PART_NANOS
        return false
    }

    /** Records that a first event took [ratio] times as long as the pace of the service makes one expect. */
    internal fun onPaceObserved(
        ratio: Double,
        nanos: Long,
    ) {
        val current = ln(paceRatio(nanos))
        logPaceRatio = current + PACE_WEIGHT * (ln(ratio.coerceIn(1 / MAX_PACE_RATIO, MAX_PACE_RATIO)) - current)
        paceNanos = nanos
    }

    /** Factor by which it takes longer than the pace of the service makes one expect; tends to 1 while it answers nothing. */
    internal fun paceRatio(nanos: Long): Double =
        if (logPaceRatio == 0.0) 1.0 else exp(logPaceRatio * exp(-(nanos - paceNanos).toDouble() / PACE_NANOS))

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
        val slots = slots
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

        /** Requests sent since a figure that are told from those that it contains; figures that other instances pass on are 1 s old. */
        const val SENT_TIMES = 16

        /** Shared prompt parts that are remembered; an instance sends an upstream parts of some ten accounts. */
        const val PARTS = 16

        /** Time for which an upstream is taken to hold a part that it has read; parts that are read again later cost nothing. */
        const val PART_NANOS = 10_000_000_000L

        /** Weight of the newest time to a first event; times differ by half of their mean when upstreams are loaded. */
        const val PACE_WEIGHT = 0.1
        const val MAX_PACE_RATIO = 3.0

        /** Time after which a pace has lost most of its influence. */
        const val PACE_NANOS = 10e9

        fun lifeOf(upstream: DiscoveredUpstream): Int =
            StableHash.of("${upstream.id.value} ${upstream.host}:${upstream.port} ${upstream.service} ${upstream.bornMillis}").toInt()
    }
}
