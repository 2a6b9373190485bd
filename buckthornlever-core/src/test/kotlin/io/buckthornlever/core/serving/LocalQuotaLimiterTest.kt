package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import io.buckthornlever.api.serving.QuotaUnit
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
        val limiter = held(allocation(1.0, "i", "j", "i", "k"))
        assertEquals(40.0, spend(limiter, 0))
    }

    @Test
    fun `usage leaves the window after the length of the window`() {
        val limiter = held(allocation(1.0, "i"))
        assertEquals(80.0, spend(limiter, 0))
        assertEquals(0.0, spend(limiter, seconds(7)))
        assertEquals(80.0, spend(limiter, seconds(9)))
    }

    @Test
    fun `nothing is granted without an allocation or long after its last confirmation`() {
        val limiter = LocalQuotaLimiter("i", bounds, 0, true)
        assertEquals(QuotaCharge.Exhausted, limiter.charge(account, 1.0, 0))
        limiter.update(allocation(1.0, "i"), 0)
        assertEquals(QuotaCharge.Exhausted, limiter.charge(account, 1.0, 0))
        limiter.onConfirmed(0)
        assertEquals(0.0, spend(limiter, seconds(21)))
        limiter.onConfirmed(seconds(21))
        assertEquals(80.0, spend(limiter, seconds(21)))
    }

    @Test
    fun `a ceiling holds until it is raised`() {
        val limiter = held(allocation(0.5, "i"))
        assertEquals(40.0, spend(limiter, 0))
        assertEquals(QuotaCharge.AboveCeiling, limiter.charge(account, 1.0, 0))
        repeat(4) {
            limiter.update(assertNotNull(limiter.withRaisedCeiling(account.id)), 0)
            assertTrue(spend(limiter, 0) in 1.0..12.0)
        }
        assertNull(limiter.withRaisedCeiling(account.id))
        assertEquals(0.0, limiter.available(account, 0))
    }

    @Test
    fun `a restarted holder grants only what cannot have been granted before until the window is over`() {
        val limiter = LocalQuotaLimiter("i", bounds, 0, false)
        limiter.update(allocation(0.75, "i"), 0)
        limiter.onConfirmed(0)
        assertEquals(20.0, spend(limiter, seconds(1)))
        assertEquals(0.0, spend(limiter, seconds(7)))
        assertEquals(60.0, spend(limiter, seconds(10)))
    }

    @Test
    fun `a restarted holder does not rely on an allocation confirmed before its start`() {
        val limiter = LocalQuotaLimiter("i", bounds, seconds(10), false)
        limiter.update(allocation(0.5, "i"), seconds(10))
        limiter.onConfirmed(seconds(9))
        assertEquals(0.0, spend(limiter, seconds(10)))
    }

    @Test
    fun `a share is granted by its new holder once the old one has stopped and its usage has left the window`() {
        val limiter = held(allocation(1.0, "j"))
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
        val limiter = held(allocation(1.0, "i"))
        limiter.onPause(seconds(2))
        limiter.onConfirmed(seconds(1))
        assertEquals(0.0, spend(limiter, seconds(2)))
        limiter.onConfirmed(seconds(3))
        assertEquals(80.0, spend(limiter, seconds(3)))
    }

    @Test
    fun `the available units are what can be charged`() {
        val limiter = held(allocation(0.5, "i"))
        limiter.charge(account, 30.0, 0)
        assertEquals(10.0, limiter.available(account, 0))
        assertTrue(limiter.charge(account, 10.0, 0) is QuotaCharge.Granted)
    }

    private fun held(allocation: QuotaHoldings): LocalQuotaLimiter =
        LocalQuotaLimiter("i", bounds, 0, true).apply {
            update(allocation, 0)
            onConfirmed(0)
        }

    private fun allocation(
        ceiling: Double,
        vararg holders: String,
    ): QuotaHoldings = QuotaHoldings(mapOf(account.id to AccountHolding(ceiling, holders.map { QuotaShare(it) })))

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
