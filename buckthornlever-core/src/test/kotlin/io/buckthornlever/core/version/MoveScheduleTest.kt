package io.buckthornlever.core.version

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class MoveScheduleTest {
    @Property(tries = 300, seed = "12")
    fun `a move that is called feasible at its start has all traffic before its due time`(
        @ForAll @IntRange(min = 1, max = 20_000) seconds: Int,
        @ForAll @IntRange(min = 1, max = 100) percent: Int,
        @ForAll @IntRange(min = 0, max = 3) missedTicks: Int,
    ) {
        val start = MoveFixture.START
        val schedule =
            MoveSchedule(MoveFixture.MOVE.copy(dueAt = start.plusSeconds(seconds.toLong()).toString(), badSharePercent = percent))
        if (!schedule.isFeasible(0, start)) return
        var now = start
        var since = start
        var step = 0
        while (step + 1 < schedule.shares.size && now <= schedule.due) {
            if (schedule.mayEnterStep(step + 1, since, now)) {
                step++
                since = now
            }
            now = now.plusMillis(250L * (1 + missedTicks))
        }
        assertEquals(MoveSchedule.FULL_PERMILLE, schedule.shares[step], "share at the due time")
    }

    @Test
    fun `a move without enough time is reported before it starts`() {
        val schedule = MoveSchedule(MoveFixture.MOVE.copy(dueAt = MoveFixture.START.plusSeconds(3).toString()))
        assertFalse(schedule.isFeasible(0, MoveFixture.START.minusSeconds(60)))
    }

    @Test
    fun `the small share is held for most of the move, since late faults then harm few requests`() {
        val schedule = MoveSchedule(MoveFixture.MOVE)
        assertFalse(schedule.mayEnterStep(1, MoveFixture.START, MoveFixture.START.plusSeconds(300)))
        assertTrue(schedule.mayEnterStep(1, MoveFixture.START, MoveFixture.START.plusSeconds(400)))
    }
}
