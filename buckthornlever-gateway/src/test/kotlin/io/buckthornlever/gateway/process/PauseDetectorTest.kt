package io.buckthornlever.gateway.process

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a suspended machine that takes its old beliefs for fresh ones when it wakes. */
class PauseDetectorTest {
    private val detector = PauseDetector(0, 1_000_000)

    @Test
    fun `time that the steady clock did not count is a pause`() {
        assertEquals(Duration.ofMillis(4_000), detector.check(200_000_000, 1_004_200))
        assertEquals(Duration.ZERO, detector.check(400_000_000, 1_004_400))
    }

    @Test
    fun `equal progress and small corrections are no pause`() {
        assertEquals(Duration.ZERO, detector.check(200_000_000, 1_000_200))
        assertEquals(Duration.ZERO, detector.check(400_000_000, 1_000_500))
    }

    @Test
    fun `a time of day that goes back is no pause`() {
        assertEquals(Duration.ZERO, detector.check(200_000_000, 998_000))
    }
}
