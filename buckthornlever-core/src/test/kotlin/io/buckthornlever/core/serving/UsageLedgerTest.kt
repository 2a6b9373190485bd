package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against usage that is counted twice or lost when messages of peers are repeated or their processes restart. */
class UsageLedgerTest {
    private val ledger = UsageLedger(5_000)
    private val a = AccountId("a")

    @Test
    fun `counts of all instances add up by window`() {
        ledger.onStarted(a, 4_999)
        ledger.onStarted(a, 5_000)
        ledger.updatePeer("p", 1, mapOf(0L to mapOf(a to 3L)))
        assertEquals(4, ledger.total(0).counts[a])
        assertEquals(1, ledger.total(1).counts[a])
    }

    @Test
    fun `a repeated message counts once and a restarted peer's old counts stay`() {
        repeat(2) { ledger.updatePeer("p", 1, mapOf(0L to mapOf(a to 3L))) }
        ledger.updatePeer("p", 2, mapOf(0L to mapOf(a to 1L)))
        assertEquals(4, ledger.total(0).counts[a])
    }

    @Test
    fun `old windows are forgotten`() {
        ledger.onStarted(a, 0)
        ledger.forgetBefore(1)
        assertTrue(ledger.total(0).counts.isEmpty())
    }
}
