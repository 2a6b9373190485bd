package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against times that mix services or follow a single request. */
class RequestTimesTest {
    private val times = RequestTimes()

    @Test
    fun `the first request replaces the initial time and later ones move the mean`() {
        times.onFinished("s", Duration.ofMillis(500))
        assertEquals(Duration.ofMillis(500), times.of("s"))
        times.onFinished("s", Duration.ofMillis(1_500))
        assertEquals(Duration.ofMillis(600), times.of("s"))
        repeat(100) { times.onFinished("s", Duration.ofMillis(100)) }
        assertTrue(times.of("s") in Duration.ofMillis(100)..Duration.ofMillis(101))
    }

    @Test
    fun `each service has its own time`() {
        val unknown = times.of("other")
        times.onFinished("s", Duration.ofMillis(500))
        assertEquals(unknown, times.of("other"))
    }
}
