package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against callers that return all at once, when it cannot help, or later than they wait. */
class ReturnTimeTest {
    @Test
    fun `callers return spread over a third of their time left, the cheapest to delay last`() {
        val times = listOf(0.0, 0.5, 1.0).map { returnMillis(position = it) }
        assertEquals(listOf(400L, 700L, 1_000L), times)
    }

    @Test
    fun `nobody is told a time when the run could not end after it`() {
        assertNull(returnMillis(workTime = 2_950))
    }

    @Test
    fun `a request that can still be on time returns before it is too late for that`() {
        assertEquals(600L, returnMillis(timeToSend = 600, position = 1.0))
    }

    @Test
    fun `no return is earlier than new figures or later than a caller waits`() {
        for (timeLeft in listOf(301L, 1_000L, 20_000L)) {
            for (wait in listOf(0L, 500L, 100_000L)) {
                for (position in listOf(-1.0, 0.3, 7.0)) {
                    val millis = checkNotNull(returnMillis(timeLeft = timeLeft, wait = wait, position = position, workTime = 0))
                    assertTrue(millis in 100..timeLeft / 3, "$millis of $timeLeft")
                }
            }
        }
    }

    private fun returnMillis(
        timeLeft: Long = 3_000,
        timeToSend: Long = 0,
        workTime: Long = 200,
        wait: Long = 400,
        position: Double = 0.5,
    ): Long? =
        ReturnTime
            .of(millis(timeLeft), millis(timeToSend), millis(workTime), millis(wait), position)
            ?.toMillis()

    private fun millis(millis: Long): Duration = Duration.ofMillis(millis)
}
