package io.buckthornlever.core.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against windows that are reported before all counts are known although there is time, after they are due, or never. */
class UsageReportPlanTest {
    private val plan = UsageReportPlan(5_000, 10_000)

    @Test
    fun `a window is reported as soon as its counts are final`() {
        plan.onReportedThrough(2)
        assertEquals(emptyList(), due(20_000))
        assertEquals(listOf(3L), due(20_000) { true })
    }

    @Test
    fun `a window whose counts are not final is reported shortly before it is due`() {
        plan.onReportedThrough(2)
        assertEquals(emptyList(), due(29_500))
        assertEquals(listOf(3L), due(29_600))
        assertFalse(plan.isOverdue(3, 30_000))
        assertTrue(plan.isOverdue(3, 30_001))
    }

    @Test
    fun `a window is not waited for when it is not known when its report is due`() {
        val plan = UsageReportPlan(5_000, null)
        plan.onReportedThrough(2)
        assertEquals(emptyList(), plan.due(21_400, 0) { false })
        assertEquals(listOf(3L), plan.due(21_500, 0) { false })
    }

    @Test
    fun `all windows that are not reported are due after a long time without a holder, the oldest first`() {
        plan.onReportedThrough(2)
        assertEquals((3L..11L).toList(), due(60_000) { true })
        plan.onReported(4)
        plan.onReported(3)
        assertEquals(4, plan.reportedThrough)
        plan.onReported(6)
        assertEquals(listOf(5L, 7L, 8L, 9L, 10L, 11L), due(60_000) { true })
    }

    @Test
    fun `a holder that knows of no earlier report looks back a few windows only`() {
        assertEquals((8L..11L).toList(), due(60_000) { true })
    }

    @Test
    fun `windows whose counts nobody keeps are given up`() {
        plan.onReportedThrough(2)
        due(200_000) { true }
        assertEquals(39 - UsageLedger.RETAINED_WINDOWS - 1, plan.reportedThrough)
    }

    @Test
    fun `failed attempts are repeated at growing intervals`() {
        plan.onReportedThrough(2)
        var attempts = 0
        for (tick in 0 until 50) {
            val nanos = tick * 200_000_000L
            if (plan.due(20_000, nanos) { true }.isEmpty()) continue
            attempts++
            plan.onFailed(3, nanos)
        }
        assertTrue(attempts in 12..15, "$attempts attempts in 10 s")
    }

    private fun due(
        wallMillis: Long,
        isFinal: (Long) -> Boolean = { false },
    ): List<Long> = plan.due(wallMillis, 0, isFinal)
}
