package io.buckthornlever.core.version

import io.buckthornlever.api.version.VersionMove
import java.time.Duration
import java.time.Instant

/**
 * Times at which the new version's share may be raised. The smallest share is held as long as possible, so that a fault that starts
 * late affects few requests. The share is raised once the remaining steps, a settling time and a reserve for a change of the lease
 * holder just fit before the due time.
 */
internal class MoveSchedule(
    move: VersionMove,
) {
    val start: Instant = Instant.parse(move.startAt)
    val due: Instant = Instant.parse(move.dueAt)

    /** Shares of the new version per step, in permille; the first is the configured limit for a bad version. */
    val shares: List<Int> = shareSteps((move.badSharePercent * 10).coerceIn(1, FULL_PERMILLE))

    /** Planned time between two raises of the share; when time is short, half of it is enough. */
    val hold: Duration = Duration.between(start, due).dividedBy(STEPS_PER_MOVE).coerceIn(MIN_HOLD, MAX_HOLD)

    /** Time at which a move that may not proceed is rolled back, so that operators know the outcome before the due time. */
    val decision: Instant = due.minus(reserveOf(start, due).dividedBy(4))
    private val increases = shares.size - 1
    private val reserve = reserveOf(start, due)
    private val rampStart = maxOf(start, due.minus(reserve).minus(hold.multipliedBy(increases + 1L)))

    /** Whether the share of step [step] may take effect at [now], given that the previous step has been in effect since [since]. */
    fun mayEnterStep(
        step: Int,
        since: Instant,
        now: Instant,
    ): Boolean {
        if (step == 0) return now >= start
        val planned = rampStart.plus(hold.multipliedBy(step - 1L))
        return now >= planned && now >= since.plus(hold.dividedBy(2))
    }

    /**
     * Whether the move may be declared done at [now], given that the new version has had all traffic since [since]. The move stays
     * in progress until shortly before the due time, so that a fault that starts late still leads to a rollback.
     */
    fun mayComplete(
        since: Instant,
        now: Instant,
    ): Boolean = now >= since.plus(hold.dividedBy(2)) && now >= due.minus(reserve.dividedBy(2))

    /** Whether the steps that remain after [step] fit between [now] and the due time. */
    fun isFeasible(
        step: Int,
        now: Instant,
    ): Boolean = maxOf(now, start).plus(minimumRemainingTime(step)) <= due

    /** Whether the share must be raised at [now], without waiting for more evidence, for the move to finish in time. */
    fun mustRaiseNow(
        step: Int,
        now: Instant,
    ): Boolean = now.plus(minimumRemainingTime(step)).plus(hold.dividedBy(2)) >= due

    private fun minimumRemainingTime(step: Int): Duration = hold.dividedBy(2).multipliedBy((increases - step + 1L).coerceAtLeast(0))

    companion object {
        /** All traffic, in permille. */
        const val FULL_PERMILLE = 1_000
        private const val GROWTH_FACTOR = 2.5
        private const val STEPS_PER_MOVE = 12L
        private val MIN_HOLD = Duration.ofSeconds(2)
        private val MAX_HOLD = Duration.ofSeconds(60)

        // When the lease holder fails, its lease of a few seconds has to expire and the successor has to read the record.
        private val MAX_RESERVE = Duration.ofSeconds(20)

        private fun reserveOf(
            start: Instant,
            due: Instant,
        ): Duration = Duration.between(start, due).dividedBy(6).coerceIn(Duration.ZERO, MAX_RESERVE)

        private fun shareSteps(first: Int): List<Int> =
            generateSequence(first) {
                if (it >=
                    FULL_PERMILLE
                ) {
                    null
                } else {
                    (it * GROWTH_FACTOR).toInt().coerceAtLeast(it + 1).coerceAtMost(FULL_PERMILLE)
                }
            }.toList()
    }
}
