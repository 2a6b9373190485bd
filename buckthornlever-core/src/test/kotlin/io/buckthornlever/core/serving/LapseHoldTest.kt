package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a server that left during a cut and is still used once the instance counts as in touch. */
class LapseHoldTest {
    private val hold = LapseGracePeriod()

    @Test
    fun `a registration that goes while the store answers is gone`() {
        hold.onStoreAnswered(0)
        assertFalse(hold.isActive(1))
    }

    @Test
    fun `the hold counts from the return of the store and not from the news of the deletion`() {
        hold.onStoreFailed()
        assertTrue(hold.isActive(millis(5_000)))
        hold.onStoreAnswered(millis(10_000))
        assertTrue(hold.isActive(millis(11_700)))
        hold.onStoreAnswered(millis(11_900))
        assertFalse(hold.isActive(millis(11_900)))
    }

    @Test
    fun `with the time in which a return is noticed the hold ends before the instance is in touch`() {
        hold.onStoreFailed()
        hold.onStoreAnswered(millis(1_000))
        assertFalse(hold.isActive(millis(2_900)))
    }

    private fun millis(count: Long): Long = Duration.ofMillis(count).toNanos()
}
