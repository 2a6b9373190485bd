package io.buckthornlever.gateway.process

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against an instance that treats stale state as fresh after its host was suspended, because the monotonic clock stood still. */
class PauseDetectorTest {
    private val detector = PauseDetector(0, 1_000_000)

    @Test
    fun `a jump of the wall clock ahead of the monotonic clock is a pause`() {
        assertEquals(Duration.ofMillis(4_000), detector.check(200_000_000, 1_004_200))
        assertEquals(Duration.ZERO, detector.check(400_000_000, 1_004_400))
    }

    @Test
    fun `equal progress and small clock corrections are no pause`() {
        assertEquals(Duration.ZERO, detector.check(200_000_000, 1_000_200))
        assertEquals(Duration.ZERO, detector.check(400_000_000, 1_000_500))
    }

    @Test
    fun `a wall clock that goes back is no pause`() {
        assertEquals(Duration.ZERO, detector.check(200_000_000, 998_000))
    }
}
