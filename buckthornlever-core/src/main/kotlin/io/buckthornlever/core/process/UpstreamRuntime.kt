package io.buckthornlever.core.process

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.core.request.Mixing
import io.buckthornlever.core.request.PriceTier
import kotlin.math.floor

/**
 * What this instance knows about one upstream; survives changes of the configuration. An upstream that has not reported its
 * load yet counts as cold: either it or this instance has just started.
 */
internal class UpstreamRuntime(
    spec: UpstreamSpec,
    private val settings: RoutingSettings,
    startNanos: Long,
) {
    val hash: Long = Mixing.hash(spec.id.value)
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
     * This instance's part of the capacity as of the last report: what it had in flight then and its part of the room that was
     * left. Applies under contention, when all instances would otherwise fill the same room at the same time.
     */
    var fairPart: Int = Int.MAX_VALUE
        private set

    /** Tiers that contain this upstream, one per pool that lists it, with its position in each. */
    var memberships: List<PriceTier.Membership> = emptyList()

    var spec: UpstreamSpec = spec
        private set

    var health: UpstreamHealth = UpstreamHealth.HEALTHY
        private set

    /** This instance's requests in flight. */
    val inFlight: Int get() = history.current

    /** Requests in flight over all instances: the last report, corrected by what this instance started and ended since. */
    val load: Int get() = inFlight + othersInFlight

    /** Requests at once that the upstream bears, over all instances. */
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

    /** True when selection may use the upstream without it being the last resort. */
    val usable: Boolean get() = !leaving && health == UpstreamHealth.HEALTHY

    fun reconfigure(changed: UpstreamSpec) {
        if (changed.concurrency != spec.concurrency) adaptiveLimit.resize(changed.concurrency)
        spec = changed
    }

    fun started(nanos: Long) {
        history.change(1, nanos)
        updateMemberships()
    }

    /** Returns true when the outcome shows that the upstream has become cold without announcement. */
    fun finished(
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
     * Takes a report measured [measuredNanos] on this instance's monotonic clock; older reports than the last are ignored.
     *
     * @param instances live entry instances
     * @param rounding number from 0 to 1 that differs between instances and reports
     */
    fun reported(
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
        val room = (minOf(report.capacity, spec.concurrency) - reportedLoad).toDouble()
        fairPart = maxOf(0, own + floor(room / maxOf(1, instances) + rounding).toInt())
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

    fun coldAnnounced(nanos: Long) {
        enterRamp(nanos)
        updateMemberships()
    }

    fun leavingAnnounced() {
        leaving = true
        updateMemberships()
    }

    fun healthChanged(changed: UpstreamHealth) {
        health = changed
        updateMemberships()
    }

    /** Largest number of requests in flight that this instance may have here now. */
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

    /** False while requests may still run that others had started under the larger shares from before this instance joined. */
    private fun mayHaveShare(
        shares: ColdStartShares,
        nanos: Long,
    ): Boolean = othersIdleAt >= shares.firstShareNanos || nanos >= shares.firstShareNanos + settings.maxRequestDuration.toNanos()

    /**
     * False while requests may still run that others had started before the limit shrank. Until then all load of others counts
     * as such, and only the rest of the limit is divided; hence the sum stays within the limit whichever reports instances have.
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
                adaptiveLimit.onAnswered(outcome.firstByte.toNanos(), inFlightBefore, nanos)
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
        /** Refusals in a row, below the known capacity, that count as having become cold; one may be an error of the estimate. */
        const val COLD_SIGNAL_THRESHOLD = 3

        /** Time within which every instance has learned from reports that an upstream has become cold. */
        const val REPORT_LAG_NANOS = 2_000_000_000L
    }
}
