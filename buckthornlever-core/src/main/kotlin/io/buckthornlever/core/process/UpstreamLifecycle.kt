package io.buckthornlever.core.process

import io.buckthornlever.api.process.UpstreamSpec
import java.time.Duration
import java.time.Instant

/**
 * Lifecycle of one upstream and its limit, the number of concurrent requests that all entry instances together may have on it. The
 * limit shrinks immediately and grows in steps, since a cold upstream fails under full load.
 */
internal class UpstreamLifecycle(
    private var spec: UpstreamSpec,
) {
    var phase = UpstreamPhase.COLD
        private set

    /** True once the upstream has reported its load. */
    var hasReported = false
        private set
    private var rampLimit = 1
    private var stepStartedAt: Instant = Instant.MIN
    private var failures = 0
    private var endsAt: Instant? = null
    private var reportedCapacity: Int? = null
    private var reportedAt: Instant = Instant.MIN
    private var reportedCold = false

    /** Time at which the cloud reclaims the upstream, if announced. */
    val announcedEnd: Instant? get() = endsAt

    /** True when the upstream itself, whatever the state of its domain, takes no new requests. */
    val isUnavailable: Boolean get() = phase == UpstreamPhase.LEAVING || phase == UpstreamPhase.GONE

    fun reconfigure(changed: UpstreamSpec) {
        spec = changed
    }

    fun onEvent(
        event: UpstreamEvent,
        now: Instant,
    ) {
        when (event) {
            is UpstreamEvent.Listed -> if (event.leaving) enter(UpstreamPhase.LEAVING, now)
            UpstreamEvent.Unlisted -> markGone(now)
            is UpstreamEvent.Reported -> onReported(event, now)
            is UpstreamEvent.ReclaimNotice -> {
                endsAt = event.endsAt
                enter(UpstreamPhase.LEAVING, now)
            }
            UpstreamEvent.Failed -> if (++failures >= FAILURES_UNTIL_GONE) markGone(now)
            UpstreamEvent.Refused -> onRefused(now)
            UpstreamEvent.Answered -> onAnswered(now)
        }
    }

    /** Restarts at the cold limit, for example after the return of a failure domain. */
    fun restart(now: Instant) {
        rampLimit = spec.coldConcurrency
        enter(UpstreamPhase.COLD, now)
        stepStartedAt = now
    }

    fun tick(now: Instant) {
        if (phase == UpstreamPhase.LEAVING && endsAt?.let { now >= it } == true) markGone(now)
        val growing = phase == UpstreamPhase.COLD || phase == UpstreamPhase.RETURNING
        if (!growing || now < stepStartedAt.plusOrNow(RAMP_STEP, now)) return
        // Only a recent report shows that the upstream can take more load.
        if (!hasReported || reportedCold || now > reportedAt.plusOrNow(REPORT_VALIDITY, now)) return
        stepStartedAt = now
        rampLimit = (rampLimit * 2).coerceAtMost(spec.concurrency)
        phase = if (rampLimit >= spec.concurrency) UpstreamPhase.LIVE else UpstreamPhase.RETURNING
    }

    fun limit(): Int {
        val capacity = reportedCapacity ?: Int.MAX_VALUE
        return when (phase) {
            UpstreamPhase.LIVE -> minOf(spec.concurrency, capacity)
            UpstreamPhase.COLD -> minOf(spec.coldConcurrency, capacity)
            UpstreamPhase.RETURNING -> minOf(rampLimit, capacity)
            UpstreamPhase.LEAVING, UpstreamPhase.GONE -> 0
        }
    }

    private fun onReported(
        report: UpstreamEvent.Reported,
        now: Instant,
    ) {
        val first = !hasReported
        hasReported = true
        reportedCapacity = report.capacity
        reportedAt = now
        reportedCold = report.cold
        failures = 0
        when {
            report.leaving -> enter(UpstreamPhase.LEAVING, now)
            phase == UpstreamPhase.GONE -> restart(now)
            report.cold && phase != UpstreamPhase.COLD && phase != UpstreamPhase.LEAVING -> restart(now)
            // A warm first report means that this entry instance has just started, not the upstream; skip the ramp.
            first && !report.cold && phase == UpstreamPhase.COLD -> enter(UpstreamPhase.LIVE, now)
            else -> Unit
        }
    }

    private fun onRefused(now: Instant) {
        if (phase != UpstreamPhase.RETURNING) return
        rampLimit = (rampLimit / 2).coerceAtLeast(spec.coldConcurrency)
        stepStartedAt = now
    }

    private fun onAnswered(now: Instant) {
        failures = 0
        if (phase == UpstreamPhase.GONE) restart(now)
    }

    private fun markGone(now: Instant) {
        endsAt = null
        enter(UpstreamPhase.GONE, now)
    }

    private fun enter(
        next: UpstreamPhase,
        now: Instant,
    ) {
        if (phase == next) return
        phase = next
        stepStartedAt = now
        if (next == UpstreamPhase.GONE) reportedCapacity = null
    }

    private fun Instant.plusOrNow(
        step: Duration,
        now: Instant,
    ): Instant = if (this == Instant.MIN) now else plus(step)

    private companion object {
        const val FAILURES_UNTIL_GONE = 3
        val RAMP_STEP: Duration = Duration.ofSeconds(5)
        val REPORT_VALIDITY: Duration = Duration.ofSeconds(4)
    }
}
