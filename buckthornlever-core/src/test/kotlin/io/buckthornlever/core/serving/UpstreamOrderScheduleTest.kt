package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.UpstreamOrder
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class UpstreamOrderScheduleTest {
    private val schedule = UpstreamOrderSchedule()
    private val order = UpstreamOrder("s", FailureDomain("a"), 3, true)

    @Test
    fun `an order is not repeated while the ordered upstreams may still start`() {
        send(DutyOutcome.ACCEPTED)
        assertFalse(schedule.isDue(order, 0, seconds(7)))
        assertTrue(schedule.isDue(order, 0, seconds(8)))
    }

    @Test
    fun `upstreams that ran and are taken away are ordered again at once`() {
        send(DutyOutcome.ACCEPTED)
        assertFalse(schedule.isDue(order, 3, seconds(5)))
        assertTrue(schedule.isDue(order, 0, seconds(6)))
    }

    @Test
    fun `a refused order is repeated only after a while`() {
        send(DutyOutcome.CONFLICT)
        assertFalse(schedule.isDue(order, 0, seconds(3)))
        assertTrue(schedule.isDue(order, 0, seconds(4)))
    }

    @Test
    fun `an order in flight is not repeated`() {
        schedule.onSent(order, 0)
        assertFalse(schedule.isDue(order.copy(count = 5), 0, seconds(60)))
    }

    @Test
    fun `a changed plan is sent after the shortest interval`() {
        send(DutyOutcome.ACCEPTED)
        assertFalse(schedule.isDue(order.copy(count = 4), 3, seconds(0)))
        assertTrue(schedule.isDue(order.copy(count = 4), 3, seconds(1)))
    }

    private fun send(outcome: DutyOutcome) = schedule.onSent(order, 0).onOutcome(outcome)

    private fun seconds(count: Long): Long = Duration.ofSeconds(count).toNanos()
}
