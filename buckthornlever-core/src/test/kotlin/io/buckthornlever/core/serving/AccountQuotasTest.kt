package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against sums over all instances that exceed an account's quota, and against refusals below it. */
class AccountQuotasTest {
    private val bounds = QuotaBounds(Duration.ofSeconds(8), 0.1, 100.0)
    private val account = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.TOKENS, 1, 100.0, 200.0)
    private val allowed = (100.0 * 8 + 200) * 1.1 + 100

    @Test
    fun `an instance that knows of no others may use the whole quota`() {
        val quotas = AccountQuotas(bounds)
        val used = spend(quotas, 0, 10_000)
        assertTrue(used in 1_000.0..allowed, "used $used")
    }

    @Test
    fun `usage leaves the window after its length`() {
        val quotas = AccountQuotas(bounds)
        spend(quotas, 0, 10_000)
        assertFalse(quotas.admit(account, 1.0, seconds(7)))
        assertTrue(quotas.admit(account, 1.0, seconds(9)))
    }

    @Test
    fun `an instance that hears nobody is left with its equal part`() {
        val quotas = AccountQuotas(bounds)
        quotas.members(listOf("b", "c"))
        assertTrue(spend(quotas, 0, 10_000) <= allowed / 3)
    }

    @Test
    fun `usage told by peers counts`() {
        val quotas = AccountQuotas(bounds)
        quotas.members(listOf("b"))
        quotas.heard("b", 1, mapOf(account.id to 900.0), 0)
        assertTrue(spend(quotas, 0, 10_000) <= allowed - 900)
    }

    @Test
    fun `what a peer used before this process started does not count as used now`() {
        val quotas = AccountQuotas(bounds, incarnation = 5)
        quotas.members(listOf("b"))
        quotas.heard("b", 1, mapOf(account.id to 1_000_000.0), 0)
        assertTrue(quotas.admit(account, 100.0, 0))
        quotas.heard("b", 1, mapOf(account.id to 1_001_000.0), 0)
        assertFalse(quotas.admit(account, 400.0, 0))
    }

    @Test
    fun `instances that are all killed at once do not grant the quota twice in one window`() {
        val first = AccountQuotas(bounds)
        val before = spend(first, 0, 10_000)
        val snapshot = first.recent(seconds(1))
        val second = AccountQuotas(bounds, incarnation = 2, startNanos = seconds(2))
        second.restore(snapshot, Duration.ofSeconds(1), seconds(2))
        assertTrue(before + spend(second, seconds(2), 10_000) <= allowed)
    }

    @Test
    fun `without a snapshot the part of a new process comes free over one window`() {
        val quotas = AccountQuotas(bounds, incarnation = 2, startNanos = 0)
        assertFalse(quotas.admit(account, 100.0, 0))
        assertTrue(quotas.admit(account, 100.0, seconds(4)))
        assertTrue(spend(quotas, seconds(4), 10_000) <= allowed / 2)
    }

    @Test
    fun `a refund frees the quota of a request that did not run`() {
        val quotas = AccountQuotas(bounds)
        val used = spend(quotas, 0, 10_000)
        quotas.refund(account.id, 10.0, 0, 0)
        assertEquals(used - 10, quotas.totals().getValue(account.id))
        assertTrue(quotas.admit(account, 10.0, 0))
    }

    private fun spend(
        quotas: AccountQuotas,
        nanos: Long,
        tries: Int,
    ): Double {
        var used = 0.0
        repeat(tries) { if (quotas.admit(account, 1.0, nanos)) used += 1.0 }
        return used
    }

    private fun seconds(count: Long): Long = Duration.ofSeconds(count).toNanos()
}
