package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class QuotaPlanTest {
    private val plan = QuotaAllocator(QuotaBounds(Duration.ofSeconds(8), 0.1, 0.0))
    private val live = List(30) { InstanceRecord("i$it", "h", 1, FailureDomain("d${it % 3}")) }
    private val large = account("large", 1_000_000.0)
    private val small = account("small", 2_000.0)

    @Test
    fun `a large quota has several holders in all failure domains and a small one a single holder`() {
        val division = assertNotNull(plan.next(null, listOf(large, small), live))
        val holders = division.accounts.getValue(large.id).shares.map { it.holder }
        assertEquals(16, holders.toSet().size)
        assertEquals(3, live.filter { it.name in holders }.map { it.domain }.toSet().size)
        assertEquals(1, division.accounts.getValue(small.id).shares.size)
    }

    @Test
    fun `an unchanged site keeps its division`() {
        val division = plan.next(null, listOf(large, small), live)
        assertNull(plan.next(division, listOf(large, small), live))
    }

    @Test
    fun `shares of a lost instance go to others with the next generation`() {
        val division = assertNotNull(plan.next(null, listOf(large), live))
        val lost = division.accounts.getValue(large.id).shares[3].holder
        val next = assertNotNull(plan.next(division, listOf(large), live.filter { it.name != lost }))
        val before = division.accounts.getValue(large.id).shares
        val after = next.accounts.getValue(large.id).shares
        assertTrue(after[3].holder != lost)
        assertEquals(1, after[3].generation)
        assertEquals(before.filterIndexed { index, _ -> index != 3 }, after.filterIndexed { index, _ -> index != 3 })
    }

    @Test
    fun `a new account is divided and an account without a quota is not`() {
        val division = plan.next(null, listOf(large), live)
        val next = assertNotNull(plan.next(division, listOf(large, small, account("free", 0.0)), live))
        assertEquals(setOf(large.id, small.id), next.accounts.keys)
    }

    @Test
    fun `an account that is gone keeps its division since it may come back within a window`() {
        val division = plan.next(null, listOf(large, small), live)
        assertNull(plan.next(division, listOf(large), live))
    }

    private fun account(
        name: String,
        rate: Double,
    ): ServedAccount = ServedAccount(AccountId(name), setOf("k-$name"), null, QuotaUnit.TOKENS, 1, rate, 0.0)
}
