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

class HeldQuotasTest {
    private val bounds = QuotaBounds(Duration.ofSeconds(8), 0.0, 0.0)
    private val account = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 10.0, 0.0)

    @Test
    fun `a holder grants from its own shares alone`() {
        val quotas = held(division(1.0, "i", "j", "i", "k"))
        assertEquals(40.0, spend(quotas, 0))
    }

    @Test
    fun `usage leaves the window after its length`() {
        val quotas = held(division(1.0, "i"))
        assertEquals(80.0, spend(quotas, 0))
        assertEquals(0.0, spend(quotas, seconds(7)))
        assertEquals(80.0, spend(quotas, seconds(9)))
    }

    @Test
    fun `nothing is granted without a division or long after its last confirmation`() {
        val quotas = LocalQuotaLimiter("i", bounds, 0, true)
        assertEquals(QuotaCharge.Exhausted, quotas.charge(account, 1.0, 0))
        quotas.update(division(1.0, "i"), 0)
        assertEquals(QuotaCharge.Exhausted, quotas.charge(account, 1.0, 0))
        quotas.onConfirmed(0)
        assertEquals(0.0, spend(quotas, seconds(21)))
        quotas.onConfirmed(seconds(21))
        assertEquals(80.0, spend(quotas, seconds(21)))
    }

    @Test
    fun `a ceiling holds until it is raised`() {
        val quotas = held(division(0.5, "i"))
        assertEquals(40.0, spend(quotas, 0))
        assertEquals(QuotaCharge.AboveCeiling, quotas.charge(account, 1.0, 0))
        repeat(4) {
            quotas.update(assertNotNull(quotas.withRaisedCeiling(account.id)), 0)
            assertTrue(spend(quotas, 0) in 1.0..12.0)
        }
        assertNull(quotas.withRaisedCeiling(account.id))
        assertEquals(0.0, quotas.available(account, 0))
    }

    @Test
    fun `a restarted holder grants what its predecessor cannot have granted until the window is over`() {
        val quotas = LocalQuotaLimiter("i", bounds, 0, false)
        quotas.update(division(0.75, "i"), 0)
        quotas.onConfirmed(0)
        assertEquals(20.0, spend(quotas, seconds(1)))
        assertEquals(0.0, spend(quotas, seconds(7)))
        assertEquals(60.0, spend(quotas, seconds(10)))
    }

    @Test
    fun `a restarted holder does not rely on a division from before its start`() {
        val quotas = LocalQuotaLimiter("i", bounds, seconds(10), false)
        quotas.update(division(0.5, "i"), seconds(10))
        quotas.onConfirmed(seconds(9))
        assertEquals(0.0, spend(quotas, seconds(10)))
    }

    @Test
    fun `a share that had another holder is granted from once that one has stopped and its usage is over`() {
        val quotas = held(division(1.0, "j"))
        quotas.update(QuotaHoldings(mapOf(account.id to AccountHolding(1.0, listOf(QuotaShare("i", 1))))), seconds(1))
        for (second in 1L..28L) {
            quotas.onConfirmed(seconds(second))
            assertEquals(0.0, spend(quotas, seconds(second)), "after $second s")
        }
        quotas.onConfirmed(seconds(29))
        assertEquals(80.0, spend(quotas, seconds(29)))
    }

    @Test
    fun `a pause of unknown length ends grants until a later call confirms the division`() {
        val quotas = held(division(1.0, "i"))
        quotas.onPause(seconds(2))
        quotas.onConfirmed(seconds(1))
        assertEquals(0.0, spend(quotas, seconds(2)))
        quotas.onConfirmed(seconds(3))
        assertEquals(80.0, spend(quotas, seconds(3)))
    }

    @Test
    fun `free room is what could be charged`() {
        val quotas = held(division(0.5, "i"))
        quotas.charge(account, 30.0, 0)
        assertEquals(10.0, quotas.available(account, 0))
        assertTrue(quotas.charge(account, 10.0, 0) is QuotaCharge.Granted)
    }

    private fun held(division: QuotaHoldings): LocalQuotaLimiter =
        LocalQuotaLimiter("i", bounds, 0, true).apply {
            update(division, 0)
            onConfirmed(0)
        }

    private fun division(
        ceiling: Double,
        vararg holders: String,
    ): QuotaHoldings = QuotaHoldings(mapOf(account.id to AccountHolding(ceiling, holders.map { QuotaShare(it) })))

    private fun spend(
        quotas: LocalQuotaLimiter,
        nanos: Long,
    ): Double {
        var used = 0.0
        while (quotas.charge(account, 1.0, nanos) is QuotaCharge.Granted) used += 1.0
        return used
    }

    private fun seconds(count: Long): Long = Duration.ofSeconds(count).toNanos()
}
