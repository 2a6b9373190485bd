package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.RecordedCeilings
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LocalQuotaLimiterTest {
    private val bounds = QuotaBounds(Duration.ofSeconds(8), 0.0, 0.0)
    private val account = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 10.0, 0.0)

    @Test
    fun `a holder grants from its own shares alone`() {
        val limiter = held(allocation("i", "j", "i", "k"))
        assertEquals(40.0, spend(limiter, 0))
    }

    @Test
    fun `usage leaves the window after the length of the window`() {
        val limiter = held(allocation("i"))
        assertEquals(80.0, spend(limiter, 0))
        assertEquals(0.0, spend(limiter, seconds(7)))
        assertEquals(80.0, spend(limiter, seconds(9)))
    }

    @Test
    fun `nothing is granted without an allocation or long after its last confirmation`() {
        val limiter = LocalQuotaLimiter("i", bounds, 0, recordedCeilings(1.0))
        assertEquals(QuotaCharge.Exhausted, limiter.charge(account, 1.0, 0))
        limiter.update(allocation("i"), 0)
        assertEquals(QuotaCharge.Exhausted, limiter.charge(account, 1.0, 0))
        limiter.onConfirmed(0)
        assertEquals(0.0, spend(limiter, seconds(21)))
        limiter.onConfirmed(seconds(21))
        assertEquals(80.0, spend(limiter, seconds(21)))
    }

    @Test
    fun `a ceiling holds until a higher one is recorded`() {
        val ceilings = recordedCeilings(0.5)
        val limiter = held(allocation("i"), ceilings)
        assertEquals(40.0, spend(limiter, 0))
        assertEquals(QuotaCharge.AboveCeiling, limiter.charge(account, 1.0, 0))
        limiter.requestRaise(account, 30.0, 0)
        val raised = assertNotNull(ceilings.next(0) { limiter.usedFractions({ account }, 0) })
        ceilings.onWriteStarted(raised)
        assertEquals(QuotaCharge.AboveCeiling, limiter.charge(account, 1.0, 0))
        ceilings.onWritten(raised)
        assertEquals(30.0, spend(limiter, 0))
        assertEquals(10.0, limiter.availableWhenRaised(account, 0))
        assertEquals(QuotaCharge.Exhausted, limiter.charge(account, 11.0, 0))
    }

    @Test
    fun `the used fraction counts as unknown until the allocation is confirmed after a pause`() {
        val limiter = held(allocation("i"))
        limiter.charge(account, 20.0, 0)
        assertEquals(mapOf(account.id to 0.25), limiter.usedFractions({ account }, seconds(1)))
        limiter.onPause(seconds(2))
        assertEquals(mapOf(account.id to 1.0), limiter.usedFractions({ account }, seconds(2)))
        assertEquals(emptyMap(), limiter.usedFractions({ account }, seconds(9)))
    }

    @Test
    fun `a request that no ceiling allows raises none`() {
        val ceilings = recordedCeilings(0.5)
        val limiter = held(allocation("i"), ceilings)
        limiter.requestRaise(account, 81.0, 0)
        assertNull(ceilings.next(0) { emptyMap() })
    }

    @Test
    fun `a restarted holder does not rely on an allocation confirmed before its start`() {
        val limiter = LocalQuotaLimiter("i", bounds, seconds(10), recordedCeilings(1.0))
        limiter.update(allocation("i"), seconds(10))
        limiter.onConfirmed(seconds(9))
        assertEquals(0.0, spend(limiter, seconds(10)))
    }

    @Test
    fun `a share is granted by its new holder once the old one has stopped and its usage has left the window`() {
        val limiter = held(allocation("j"))
        limiter.update(QuotaHoldings(mapOf(account.id to AccountHolding(1.0, listOf(QuotaShare("i", 1))))), seconds(1))
        for (second in 1L..28L) {
            limiter.onConfirmed(seconds(second))
            assertEquals(0.0, spend(limiter, seconds(second)), "after $second s")
        }
        limiter.onConfirmed(seconds(29))
        assertEquals(80.0, spend(limiter, seconds(29)))
    }

    @Test
    fun `after a pause of unknown length nothing is granted until a later call confirms the allocation`() {
        val limiter = held(allocation("i"))
        limiter.onPause(seconds(2))
        limiter.onConfirmed(seconds(1))
        assertEquals(0.0, spend(limiter, seconds(2)))
        limiter.onConfirmed(seconds(3))
        assertEquals(80.0, spend(limiter, seconds(3)))
    }

    @Test
    fun `the available units are what can be charged`() {
        val limiter = held(allocation("i"), recordedCeilings(0.5))
        limiter.charge(account, 30.0, 0)
        assertEquals(10.0, limiter.available(account, 0))
        assertTrue(limiter.charge(account, 10.0, 0) is QuotaCharge.Granted)
    }

    private fun held(
        allocation: QuotaHoldings,
        ceilings: QuotaCeilings = recordedCeilings(1.0),
    ): LocalQuotaLimiter =
        LocalQuotaLimiter("i", bounds, 0, ceilings).apply {
            update(allocation, 0)
            onConfirmed(0)
        }

    private fun recordedCeilings(ceiling: Double): QuotaCeilings =
        QuotaCeilings(bounds.window, 0).apply {
            onRead(RecordedCeilings(0.0))
            onWritten(RecordedCeilings(ceiling))
        }

    private fun allocation(vararg holders: String): QuotaHoldings =
        QuotaHoldings(mapOf(account.id to AccountHolding(QuotaCeilings.INITIAL, holders.map { QuotaShare(it) })))

    private fun spend(
        limiter: LocalQuotaLimiter,
        nanos: Long,
    ): Double {
        var used = 0.0
        while (limiter.charge(account, 1.0, nanos) is QuotaCharge.Granted) used += 1.0
        return used
    }

    private fun seconds(count: Long): Long = Duration.ofSeconds(count).toNanos()
}
