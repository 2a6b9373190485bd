package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a server that left during a cut and is still used once the instance counts as in touch. */
class LapseGracePeriodTest {
    private val hold = LapseHold()

    @Test
    fun `a registration that goes while the store answers is gone`() {
        hold.answered(0)
        assertFalse(hold.isOpen(1))
    }

    @Test
    fun `the hold counts from the return of the store and not from the news of the deletion`() {
        hold.failed()
        assertTrue(hold.isOpen(millis(5_000)))
        hold.answered(millis(10_000))
        assertTrue(hold.isOpen(millis(11_700)))
        hold.answered(millis(11_900))
        assertFalse(hold.isOpen(millis(11_900)))
    }

    @Test
    fun `with the time in which a return is noticed the hold ends before the instance is in touch`() {
        hold.failed()
        hold.answered(millis(1_000))
        assertFalse(hold.isOpen(millis(2_900)))
    }

    private fun millis(count: Long): Long = Duration.ofMillis(count).toNanos()
}
