package io.buckthornlever.core.process

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ColdStartRampTest {
    @Test
    fun `once reports arrive, they set the limit and time does not`() {
        val ramp = ColdStartRamp(2, 16, Duration.ofSeconds(15), 0)
        ramp.onReported(3)
        ramp.advance(Duration.ofMinutes(10).toNanos())
        assertEquals(3, ramp.limit)
        ramp.onReported(1)
        assertEquals(1, ramp.limit)
    }

    @Test
    fun `without reports the limit doubles per interval and a refusal halves it and restarts the interval`() {
        val ramp = ColdStartRamp(2, 16, Duration.ofSeconds(15), 0)
        ramp.advance(Duration.ofSeconds(30).toNanos())
        assertEquals(8, ramp.limit)
        ramp.onRefused(Duration.ofSeconds(44).toNanos())
        ramp.advance(Duration.ofSeconds(58).toNanos())
        assertEquals(4, ramp.limit)
        ramp.advance(Duration.ofSeconds(120).toNanos())
        assertTrue(ramp.isFinished)
    }
}
