package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against one sender of datagrams that takes the process's time from the others. */
class SenderLimiterTest {
    private val limiter = SenderLimiter<String>(SenderLimiter.DEFAULT_BYTES_PER_SECOND).apply { SENDERS.forEach(::register) }

    @Test
    fun `a sender beyond its allowance is limited and the others are heard`() {
        assertTrue(flood("a", 10_000) in 30..40)
        assertEquals(10, (1..10).count { limiter.admits("b", LARGEST, 0) })
        assertTrue(limiter.limitedCount > 9_000)
    }

    @Test
    fun `small datagrams count with the work that each causes`() {
        assertTrue((1..100_000).count { limiter.admits("a", 1, 0) } < 10_000)
    }

    @Test
    fun `all addresses that are not registered share one allowance`() {
        val admitted = (1..10_000).count { limiter.admits("forged-$it", LARGEST, 0) }
        assertTrue(admitted in 30..40)
        assertTrue(limiter.admits("a", LARGEST, 0))
    }

    @Test
    fun `a limited sender is heard again`() {
        flood("a", 1_000)
        assertFalse(limiter.admits("a", 100, 0))
        assertTrue(limiter.admits("a", 100, Duration.ofMillis(100).toNanos()))
    }

    @Test
    fun `an idle sender saves up no more than a second`() {
        flood("a", 1_000)
        assertTrue(flood("a", 1_000, Duration.ofHours(1).toNanos()) in 30..40)
    }

    @Test
    fun `frequent datagrams earn as much as rare ones`() {
        flood("a", 1_000)
        // A datagram each microsecond, in which two bytes are earned.
        val admitted = (1..1_000_000L).count { limiter.admits("a", 768, it * 1_000) }
        assertTrue(admitted in 1_900..2_100, "$admitted")
    }

    @Test
    fun `what peers send is never limited`() {
        for (millis in 0..60_000L step 250) {
            val nanos = Duration.ofMillis(millis).toNanos()
            for (sender in SENDERS) {
                assertTrue(limiter.admits(sender, LARGEST, nanos))
                repeat(100) { assertTrue(limiter.admits(sender, 150, nanos)) }
            }
        }
    }

    private fun flood(
        sender: String,
        count: Int,
        nanos: Long = 0,
    ): Int = (1..count).count { limiter.admits(sender, LARGEST, nanos) }

    private companion object {
        val SENDERS = listOf("a", "b")
        const val LARGEST = 65_507
    }
}
