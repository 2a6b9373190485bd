package io.buckthornlever.core.process

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.core.request.Hashing
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
    val hash: Long = Hashing.hash(spec.id.value)
    val limit = AdaptiveLimit(spec.concurrency)
    private val history = InFlightHistory()
    private var ramp: ColdStartRamp? = ColdStartRamp(spec.coldConcurrency, spec.concurrency, settings.rampInterval, startNanos)
    private var basis = ShareBasis.NONE
    private var basisGeneration = -1
    private var othersAtReport = 0
    private var reportedCapacity = Int.MAX_VALUE
    private var reportTakenAt = Long.MIN_VALUE
    private var coldSince = startNanos
    private var othersIdleAt = Long.MIN_VALUE
    private var coldSigns = 0
    private var leaving = false

    /**
     * This instance's part of the capacity as of the last report: what it had in flight then and its part of the room that was
     * left. Applies under contention, when all instances would otherwise fill the same room at the same time.
     */
    var fairShare: Int = Int.MAX_VALUE
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
    val load: Int get() = inFlight + othersAtReport

    /** Requests at once that the upstream bears, over all instances. */
    val capacity: Int get() = ramp?.total ?: minOf(spec.concurrency, reportedCapacity)

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
    val isUsable: Boolean get() = !leaving && health == UpstreamHealth.HEALTHY

    fun reconfigure(changed: UpstreamSpec) {
        if (changed.concurrency != spec.concurrency) limit.resize(changed.concurrency)
        spec = changed
    }

    fun onCallStarted(nanos: Long) {
        history.change(1, nanos)
        publish()
    }

    /** Returns true when the outcome shows that the upstream has become cold without announcement. */
    fun onCallFinished(
        outcome: CallOutcome,
        nanos: Long,
    ): Boolean {
        val before = inFlight
        history.change(-1, nanos)
        val becameCold = learn(outcome, before, nanos)
        publish()
        return becameCold
    }

    /**
     * Takes a report measured [measuredNanos] on this instance's monotonic clock; older reports than the last are ignored.
     *
     * @param instances live entry instances
     * @param rounding number from 0 to 1 that differs between instances and reports
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
        othersAtReport = maxOf(0, reportedLoad - own)
        val room = (minOf(report.capacity, spec.concurrency) - reportedLoad).toDouble()
        fairShare = maxOf(0, own + floor(room / maxOf(1, instances) + rounding).toInt())
        leaving = report.leaving
        if (reportedLoad <= own) othersIdleAt = measuredNanos
        if (report.cold) {
            if (report.capacity < (ramp?.total ?: 0)) coldSince = nanos
            enterRamp(nanos)
            ramp?.reported(report.capacity)
        } else if (measuredNanos >= coldSince) {
            ramp = null
            reportedCapacity = maxOf(0, report.capacity)
        }
        publish()
    }

    fun onColdAnnounced(nanos: Long) {
        enterRamp(nanos)
        publish()
    }

    fun onLeavingAnnounced() {
        leaving = true
        publish()
    }

    fun onHealthChanged(changed: UpstreamHealth) {
        health = changed
        publish()
    }

    /** Largest number of requests in flight that this instance may have here now. */
    fun ownLimit(
        shares: ColdStartShares,
        nanos: Long,
    ): Int {
        val cold = ramp ?: return limit.current
        cold.advance(nanos)
        if (cold.finished) {
            ramp = null
            return limit.current
        }
        val generation = shares.refresh(nanos)
        if (generation != basisGeneration) {
            basis = shares.basis(hash)
            basisGeneration = generation
        }
        if (!mayHaveShare(shares, nanos)) return 0
        return basis.share(if (isDrained(nanos)) cold.total else maxOf(0, cold.total - othersAtReport))
    }

    /** False while requests may still run that others had started under the larger shares from before this instance joined. */
    private fun mayHaveShare(
        shares: ColdStartShares,
        nanos: Long,
    ): Boolean = othersIdleAt >= shares.waitUntil || nanos >= shares.waitUntil + settings.longestRequest.toNanos()

    /**
     * False while requests may still run that others had started before the limit shrank. Until then all load of others counts
     * as such, and only the rest of the limit is divided; hence the sum stays within the limit whichever reports instances have.
     */
    private fun isDrained(nanos: Long): Boolean =
        othersIdleAt >= coldSince + REPORT_LAG_NANOS || nanos >= coldSince + settings.longestRequest.toNanos()

    private fun learn(
        outcome: CallOutcome,
        inFlightBefore: Int,
        nanos: Long,
    ): Boolean {
        when (outcome) {
            is CallOutcome.Answered -> {
                limit.answered(outcome.timeToFirstByte.toNanos(), inFlightBefore, nanos)
                coldSigns = if (limit.slow) coldSigns else 0
            }
            CallOutcome.Refused -> {
                limit.refused(nanos)
                ramp?.refused(nanos)
                coldSigns++
            }
            CallOutcome.Failed, CallOutcome.Abandoned -> Unit
        }
        if (ramp != null || coldSigns < COLD_SIGNS || load > capacity) return false
        enterRamp(nanos)
        return true
    }

    private fun enterRamp(nanos: Long) {
        if (ramp != null) return
        ramp = ColdStartRamp(spec.coldConcurrency, spec.concurrency, settings.rampInterval, nanos)
        reportedCapacity = Int.MAX_VALUE
        coldSince = nanos
        coldSigns = 0
    }

    private fun publish() {
        for (membership in memberships) membership.update()
    }

    private companion object {
        /** Refusals in a row, below the known capacity, that count as having become cold; one may be an error of the estimate. */
        const val COLD_SIGNS = 3

        /** Time within which every instance has learned from reports that an upstream has become cold. */
        const val REPORT_LAG_NANOS = 2_000_000_000L
    }
}
