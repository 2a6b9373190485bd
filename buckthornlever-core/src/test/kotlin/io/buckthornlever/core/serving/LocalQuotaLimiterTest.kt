package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.RecordedCeilings
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.Random
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
        // Credit of the former holder may be spent for a moment after it was granted.
        limiter.onConfirmed(seconds(29))
        assertEquals(0.0, spend(limiter, seconds(29)))
        assertEquals(80.0, spend(limiter, seconds(29) + QuotaBounds.CREDIT_VALIDITY.toNanos()))
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

    @Test
    fun `a small request is granted beside waiting urgent ones and a large one is held back for them`() {
        val limiter = crowded()
        assertEquals(QuotaCharge.Exhausted, limiter.charge(tokens, 4_000.0, 0, priority = 2))
        assertEquals(Duration.ZERO, limiter.timeToRoom(tokens, 200.0, 0, 2))
        assertTrue(limiter.timeToRoom(tokens, 4_000.0, 0, 2) > Duration.ZERO)
        assertTrue(limiter.charge(tokens, 200.0, 0, priority = 2) is QuotaCharge.Granted)
    }

    @Test
    fun `a large request leaves room for small ones`() {
        val limiter = crowded()
        repeat(10) { limiter.charge(tokens, 200.0, 0, priority = 2) }
        while (limiter.charge(tokens, 7_000.0, 0) is QuotaCharge.Granted) Unit
        while (limiter.charge(tokens, 1_000.0, 0) is QuotaCharge.Granted) Unit
        assertTrue(limiter.charge(tokens, 200.0, 0, priority = 2) is QuotaCharge.Granted)
    }

    @Test
    fun `what is kept free is at most what leaves the window within two seconds, and nothing once nobody asks for it`() {
        for (asked in listOf(1, 3, 10, 100, 1_000)) {
            val limiter = held(allocation("i", id = tokens.id))
            val free = 640_000.0
            repeat(asked) { limiter.lend(tokens, 12_000.0, 0, priority = 0) }
            val left = free - minOf(asked, 53) * 12_000.0
            val kept = left - limiter.availableWhenRaised(tokens, 0, priority = 2)
            assertTrue(kept <= minOf(free / 4, asked * 24_000.0), "kept $kept after $asked requests")
            val later = seconds(5)
            limiter.onConfirmed(later)
            assertEquals(left, limiter.availableWhenRaised(tokens, later, priority = 2), "after $asked requests")
        }
    }

    @Test
    fun `what is available for a kind of request is what can be charged for it`() {
        for (seed in 1L..200L) {
            val random = Random(seed)
            val limiter = held(allocation("i", id = tokens.id))
            for (step in 0 until 100) {
                val nanos = step * 20_000_000L
                val cost = listOf(200.0, 2_400.0, 12_000.0)[random.nextInt(3)]
                val priority = if (cost == 12_000.0) 0 else 2
                val available = limiter.availableWhenRaised(tokens, nanos, priority, cost)
                val wait = limiter.timeToRoom(tokens, cost, nanos, priority)
                val isGranted = limiter.chargeAgain(tokens, cost, nanos, priority) is QuotaCharge.Granted
                assertEquals(available >= cost, isGranted, "available $available, cost $cost, seed $seed, step $step")
                assertEquals(wait == Duration.ZERO, isGranted, "wait $wait, cost $cost, seed $seed, step $step")
                if (!isGranted) limiter.charge(tokens, cost, nanos, priority)
            }
        }
    }

    private val tokens = ServedAccount(AccountId("t"), setOf("l"), null, QuotaUnit.TOKENS, 1, 80_000.0, 0.0)

    /** A holder with 36,000 of its 640,000 units free, which urgent requests want; others have used the part that is theirs in any case. */
    private fun crowded(): LocalQuotaLimiter =
        held(allocation("i", id = tokens.id)).apply {
            repeat(16) { charge(tokens, 4_000.0, 0, priority = 2) }
            repeat(45) { charge(tokens, 12_000.0, 0, priority = 0) }
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

    private fun allocation(
        vararg holders: String,
        id: AccountId = account.id,
    ): QuotaHoldings = QuotaHoldings(mapOf(id to AccountHolding(QuotaCeilings.INITIAL, holders.map { QuotaShare(it) })))

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
