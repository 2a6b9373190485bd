package io.buckthornlever.core.process

import io.buckthornlever.api.process.UpstreamSpec
import java.time.Duration
import java.time.Instant

/**
 * Life of one upstream and the number of requests at once that all entry instances together may have on it. A limit shrinks at
 * once and grows in steps, since a cold upstream fails under full load.
 */
internal class UpstreamLifecycle(
    private var spec: UpstreamSpec,
) {
    var phase = UpstreamPhase.COLD
        private set

    /** True once the upstream has reported its load. */
    var known = false
        private set
    private var ramp = 1
    private var since: Instant = Instant.MIN
    private var failures = 0
    private var endsAt: Instant? = null
    private var reportedCapacity: Int? = null
    private var reportedAt: Instant = Instant.MIN
    private var reportedCold = false

    /** When the cloud takes the upstream back, if that was announced. */
    val end: Instant? get() = endsAt

    /** True when the upstream takes no new work for a reason of its own. */
    val away: Boolean get() = phase == UpstreamPhase.LEAVING || phase == UpstreamPhase.GONE

    fun reconfigure(changed: UpstreamSpec) {
        spec = changed
    }

    fun on(
        event: UpstreamEvent,
        now: Instant,
    ) {
        when (event) {
            is UpstreamEvent.Listed -> if (event.leaving) enter(UpstreamPhase.LEAVING, now)
            UpstreamEvent.Unlisted -> gone(now)
            is UpstreamEvent.Reported -> reported(event, now)
            is UpstreamEvent.ReclaimNotice -> {
                endsAt = event.endsAt
                enter(UpstreamPhase.LEAVING, now)
            }
            UpstreamEvent.Failed -> if (++failures >= FAILURES_UNTIL_GONE) gone(now)
            UpstreamEvent.Refused -> refused(now)
            UpstreamEvent.Answered -> answered(now)
        }
    }

    /** Starts again at the cold limit, as after the return of a failure domain. */
    fun restart(now: Instant) {
        ramp = spec.coldConcurrency
        enter(UpstreamPhase.COLD, now)
        since = now
    }

    fun tick(now: Instant) {
        if (phase == UpstreamPhase.LEAVING && endsAt?.let { now >= it } == true) gone(now)
        val growing = phase == UpstreamPhase.COLD || phase == UpstreamPhase.RETURNING
        if (!growing || now < since.plusOrNow(STEP, now)) return
        // Without a fresh report nothing shows that the upstream bears more.
        if (!known || reportedCold || now > reportedAt.plusOrNow(REPORT_VALID, now)) return
        since = now
        ramp = (ramp * 2).coerceAtMost(spec.concurrency)
        phase = if (ramp >= spec.concurrency) UpstreamPhase.LIVE else UpstreamPhase.RETURNING
    }

    fun limit(): Int {
        val capacity = reportedCapacity ?: Int.MAX_VALUE
        return when (phase) {
            UpstreamPhase.LIVE -> minOf(spec.concurrency, capacity)
            UpstreamPhase.COLD -> minOf(spec.coldConcurrency, capacity)
            UpstreamPhase.RETURNING -> minOf(ramp, capacity)
            UpstreamPhase.LEAVING, UpstreamPhase.GONE -> 0
        }
    }

    private fun reported(
        report: UpstreamEvent.Reported,
        now: Instant,
    ) {
        val first = !known
        known = true
        reportedCapacity = report.capacity
        reportedAt = now
        reportedCold = report.cold
        failures = 0
        when {
            report.leaving -> enter(UpstreamPhase.LEAVING, now)
            phase == UpstreamPhase.GONE -> restart(now)
            report.cold && phase != UpstreamPhase.COLD && phase != UpstreamPhase.LEAVING -> restart(now)
            // An entry instance that has just started finds warm upstreams warm.
            first && !report.cold && phase == UpstreamPhase.COLD -> enter(UpstreamPhase.LIVE, now)
            else -> Unit
        }
    }

    private fun refused(now: Instant) {
        if (phase != UpstreamPhase.RETURNING) return
        ramp = (ramp / 2).coerceAtLeast(spec.coldConcurrency)
        since = now
    }

    private fun answered(now: Instant) {
        failures = 0
        if (phase == UpstreamPhase.GONE) restart(now)
    }

    private fun gone(now: Instant) {
        endsAt = null
        enter(UpstreamPhase.GONE, now)
    }

    private fun enter(
        next: UpstreamPhase,
        now: Instant,
    ) {
        if (phase == next) return
        phase = next
        since = now
        if (next == UpstreamPhase.GONE) reportedCapacity = null
    }

    private fun Instant.plusOrNow(
        step: Duration,
        now: Instant,
    ): Instant = if (this == Instant.MIN) now else plus(step)

    private companion object {
        const val FAILURES_UNTIL_GONE = 3
        val STEP: Duration = Duration.ofSeconds(5)
        val REPORT_VALID: Duration = Duration.ofSeconds(4)
    }
}
