package io.buckthornlever.core.process

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.core.request.Hashing
import io.buckthornlever.core.request.PriceTier
import kotlin.math.floor

/**
 * State that this instance keeps about one upstream across configuration changes. An upstream that has not reported its load yet
 * counts as cold: either it or this instance has just started.
 */
internal class UpstreamRuntime(
    spec: UpstreamSpec,
    private val settings: RoutingSettings,
    startNanos: Long,
) {
    val hash: Long = Hashing.hash(spec.id.value)
    val adaptiveLimit = AdaptiveLimit(spec.concurrency)
    private val history = InFlightHistory()
    private var ramp: ColdStartRamp? = ColdStartRamp(spec.coldConcurrency, spec.concurrency, settings.rampInterval, startNanos)
    private var shareRank = ShareRank.NONE
    private var shareRankGeneration = -1
    private var othersInFlight = 0
    private var reportedCapacity = Int.MAX_VALUE
    private var reportTakenAt = Long.MIN_VALUE
    private var coldSince = startNanos
    private var othersIdleAt = Long.MIN_VALUE
    private var coldSignals = 0
    private var leaving = false

    /**
     * This instance's fair share of the capacity as of the last report: its requests in flight then plus its part of the free
     * capacity. Applies under contention, when all instances would otherwise claim the same free capacity at the same time.
     */
    var fairShare: Int = Int.MAX_VALUE
        private set

    /** Price tiers that contain this upstream, one per pool that lists it, with its position in each. */
    var memberships: List<PriceTier.Membership> = emptyList()

    var spec: UpstreamSpec = spec
        private set

    var health: UpstreamHealth = UpstreamHealth.HEALTHY
        private set

    /** This instance's requests in flight. */
    val inFlight: Int get() = history.current

    /** Requests in flight over all instances: the last report, corrected by what this instance has started and finished since. */
    val load: Int get() = inFlight + othersInFlight

    /** Concurrent requests that the upstream can take, over all instances. */
    val capacity: Int get() = ramp?.limit ?: minOf(spec.concurrency, reportedCapacity)

    val state: UpstreamState
        get() =
            when {
                leaving -> UpstreamState.LEAVING
                health == UpstreamHealth.DOWN -> UpstreamState.DOWN
                health == UpstreamHealth.SUSPECT -> UpstreamState.SUSPECT
                ramp != null -> UpstreamState.COLD
                else -> UpstreamState.HEALTHY
            }

    /** True when selection may use the upstream other than as a last resort. */
    val isUsable: Boolean get() = !leaving && health == UpstreamHealth.HEALTHY

    fun reconfigure(changed: UpstreamSpec) {
        if (changed.concurrency != spec.concurrency) adaptiveLimit.resize(changed.concurrency)
        spec = changed
    }

    fun onCallStarted(nanos: Long) {
        history.change(1, nanos)
        updateMemberships()
    }

    /** Records the end of a call; returns true when [outcome] shows that the upstream has become cold unannounced. */
    fun onCallFinished(
        outcome: CallOutcome,
        nanos: Long,
    ): Boolean {
        val before = inFlight
        history.change(-1, nanos)
        val becameCold = updateLimits(outcome, before, nanos)
        updateMemberships()
        return becameCold
    }

    /**
     * Handles a report measured at [measuredNanos] on this instance's monotonic clock; reports older than the last are ignored.
     *
     * @param instances number of live entry instances
     * @param rounding offset from 0 to 1, different between instances and reports, that is added before rounding down
     */
    fun onLoadReported(
        report: LoadReport,
        measuredNanos: Long,
        nanos: Long,
        instances: Int,
        rounding: Double,
    ) {
        if (measuredNanos < reportTakenAt) return
        reportTakenAt = measuredNanos
        val reportedLoad = report.running + report.waiting
        val own = history.at(measuredNanos)
        othersInFlight = maxOf(0, reportedLoad - own)
        val freeCapacity = (minOf(report.capacity, spec.concurrency) - reportedLoad).toDouble()
        fairShare = maxOf(0, own + floor(freeCapacity / maxOf(1, instances) + rounding).toInt())
        leaving = report.leaving
        if (reportedLoad <= own) othersIdleAt = measuredNanos
        if (report.cold) {
            if (report.capacity < (ramp?.limit ?: 0)) coldSince = nanos
            enterRamp(nanos)
            ramp?.onReported(report.capacity)
        } else if (measuredNanos >= coldSince) {
            ramp = null
            reportedCapacity = maxOf(0, report.capacity)
        }
        updateMemberships()
    }

    fun onColdAnnounced(nanos: Long) {
        enterRamp(nanos)
        updateMemberships()
    }

    fun onLeavingAnnounced() {
        leaving = true
        updateMemberships()
    }

    fun onHealthChanged(changed: UpstreamHealth) {
        health = changed
        updateMemberships()
    }

    /** Maximum number of requests that this instance may have in flight at the upstream now. */
    fun ownLimit(
        shares: ColdStartShares,
        nanos: Long,
    ): Int {
        val cold = ramp ?: return adaptiveLimit.current
        cold.advance(nanos)
        if (cold.isFinished) {
            ramp = null
            return adaptiveLimit.current
        }
        val generation = shares.refresh(nanos)
        if (generation != shareRankGeneration) {
            shareRank = shares.rankFor(hash)
            shareRankGeneration = generation
        }
        if (!mayHaveShare(shares, nanos)) return 0
        return shareRank.share(if (isDrainedOfOthers(nanos)) cold.limit else maxOf(0, cold.limit - othersInFlight))
    }

    /** False while requests may still run that other instances started under their larger shares from before this one joined. */
    private fun mayHaveShare(
        shares: ColdStartShares,
        nanos: Long,
    ): Boolean = othersIdleAt >= shares.firstShareNanos || nanos >= shares.firstShareNanos + settings.maxRequestDuration.toNanos()

    /**
     * False while requests may still run that other instances started before the limit shrank. Until they have ended, all load of
     * others counts as such and only the rest of the limit is divided, so the sum of the shares stays within the limit whichever
     * reports the instances have.
     */
    private fun isDrainedOfOthers(nanos: Long): Boolean =
        othersIdleAt >= coldSince + REPORT_LAG_NANOS || nanos >= coldSince + settings.maxRequestDuration.toNanos()

    private fun updateLimits(
        outcome: CallOutcome,
        inFlightBefore: Int,
        nanos: Long,
    ): Boolean {
        when (outcome) {
            is CallOutcome.Answered -> {
                adaptiveLimit.onAnswered(outcome.timeToFirstByte.toNanos(), inFlightBefore, nanos)
                coldSignals = if (adaptiveLimit.isSlow) coldSignals else 0
            }
            CallOutcome.Refused -> {
                adaptiveLimit.onRefused(nanos)
                ramp?.onRefused(nanos)
                coldSignals++
            }
            CallOutcome.Failed, CallOutcome.Abandoned -> Unit
        }
        if (ramp != null || coldSignals < COLD_SIGNAL_THRESHOLD || load > capacity) return false
        enterRamp(nanos)
        return true
    }

    private fun enterRamp(nanos: Long) {
        if (ramp != null) return
        ramp = ColdStartRamp(spec.coldConcurrency, spec.concurrency, settings.rampInterval, nanos)
        reportedCapacity = Int.MAX_VALUE
        coldSince = nanos
        coldSignals = 0
    }

    private fun updateMemberships() {
        for (membership in memberships) membership.update()
    }

    private companion object {
        /**
         * Consecutive refusals below the known capacity after which the upstream counts as cold; a single one may come from an
         * inaccurate load estimate.
         */
        const val COLD_SIGNAL_THRESHOLD = 3

        /** Time within which every instance learns from reports that an upstream has become cold. */
        const val REPORT_LAG_NANOS = 2_000_000_000L
    }
}
