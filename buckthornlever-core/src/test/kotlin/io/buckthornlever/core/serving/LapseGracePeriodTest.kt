package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against upstreams that leave while the store is unreachable and are still used once the instance counts as reconnected. */
class LapseGracePeriodTest {
    private val gracePeriod = LapseGracePeriod()

    @Test
    fun `there is no grace period while the store answers`() {
        gracePeriod.onStoreAnswered(0)
        assertFalse(gracePeriod.isActive(1))
    }

    @Test
    fun `the grace period counts from the return of the store and not from the notice of the deletion`() {
        gracePeriod.onStoreFailed()
        assertTrue(gracePeriod.isActive(millis(5_000)))
        gracePeriod.onStoreAnswered(millis(10_000))
        assertTrue(gracePeriod.isActive(millis(11_700)))
        gracePeriod.onStoreAnswered(millis(11_900))
        assertFalse(gracePeriod.isActive(millis(11_900)))
    }

    @Test
    fun `the grace period ends before the instance counts as reconnected`() {
        gracePeriod.onStoreFailed()
        gracePeriod.onStoreAnswered(millis(1_000))
        assertFalse(gracePeriod.isActive(millis(2_900)))
    }

    private fun millis(count: Long): Long = Duration.ofMillis(count).toNanos()
}
