package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against runs that are started although they must end at the deadline, and against refusals on figures that prove nothing. */
class TimelyRunTest {
    @Test
    fun `a run that would begin after its caller has given up is not started`() {
        assertEquals(AdmissionObstacle.STARTS_TOO_LATE, obstacle(first = 2_500, last = 2_600))
    }

    @Test
    fun `a run that would begin after its deadline is not started`() {
        assertEquals(AdmissionObstacle.STARTS_TOO_LATE, obstacle(first = 3_100, last = 3_200, timeToFirst = 8_000))
    }

    @Test
    fun `a run that would end after its deadline by half of its output is not started`() {
        assertEquals(AdmissionObstacle.ENDS_TOO_LATE, obstacle(first = 1_000, last = 5_100))
    }

    @Test
    fun `a run that may end in time is started since hints about the length are often wrong`() {
        assertNull(obstacle(first = 1_000, last = 4_900))
    }

    @Test
    fun `the time of the output does not count until it is learned`() {
        assertNull(obstacle(first = 1_000, last = 60_000, knowsOutputTime = false))
    }

    @Test
    fun `nothing is refused without figures or on old ones`() {
        assertNull(obstacle(first = 9_000, last = 9_000, age = null))
        assertNull(obstacle(first = 9_000, last = 9_000, age = Duration.ofMillis(1_001)))
    }

    @Test
    fun `a share of the runs is started against the expectation so that it can prove wrong`() {
        val refused = (0 until 100).count { obstacle(first = 9_000, last = 9_000, position = it / 100.0) != null }
        assertEquals(95, refused)
    }

    private fun obstacle(
        first: Long,
        last: Long,
        timeToFirst: Long = 2_400,
        age: Duration? = Duration.ofMillis(500),
        position: Double = 0.5,
        knowsOutputTime: Boolean = true,
    ): AdmissionObstacle? =
        TimelyRun.obstacle(
            ExpectedTimes(Duration.ofMillis(first), Duration.ofMillis(last)),
            age,
            knowsOutputTime,
            Duration.ofMillis(timeToFirst),
            Duration.ofMillis(3_000),
            position,
        )
}
