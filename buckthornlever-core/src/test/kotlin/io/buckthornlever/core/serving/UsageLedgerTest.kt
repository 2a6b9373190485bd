package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against usage that is counted twice or lost when messages from peers are repeated or peers restart. */
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

    @Test
    fun `a late or repeated message does not take counts back`() {
        ledger.updatePeer("p", 1, mapOf(0L to mapOf(a to 3L)))
        ledger.updatePeer("p", 1, mapOf(0L to mapOf(a to 2L)))
        ledger.onEnded(EndedProcessUsage("p", 1, mapOf(0L to mapOf(a to 1L))))
        assertEquals(3, ledger.total(0).counts[a])
    }

    /** Guards against a peer that tells counts without end, which must neither fill the memory nor displace those of others. */
    @Test
    fun `counts of a peer that tells too many are ignored and those of others are not`() {
        ledger.updatePeer("q", 1, mapOf(0L to mapOf(a to 1L)))
        for (index in 1L..50_000) ledger.updatePeer("p", index % 7, mapOf(index to mapOf(a to 1L)))
        assertEquals(1, ledger.total(16_000).counts[a])
        assertEquals(null, ledger.total(17_000).counts[a])
        assertEquals(50_000L - 16_384, ledger.ignoredCount)
        ledger.updatePeer("q", 1, mapOf(0L to mapOf(a to 3L), 17_000L to mapOf(a to 2L)))
        assertEquals(3, ledger.total(0).counts[a])
        assertEquals(2, ledger.total(17_000).counts[a])
    }

    @Test
    fun `invented peers leave room for the others`() {
        ledger.updatePeer("q", 1, mapOf(0L to mapOf(a to 1L)))
        val accounts = (1..100).associate { AccountId("x$it") to 1L }
        for (peer in 1..10_000) ledger.onEnded(EndedProcessUsage("p$peer", 1, mapOf(1L to accounts)))
        assertTrue(ledger.total(1).counts.values.sum() <= 2 * 131_072L)
        ledger.updatePeer("q", 1, mapOf(1L to mapOf(a to 2L)))
        assertEquals(2, ledger.total(1).counts[a])
    }

    @Test
    fun `forgotten windows give their room back`() {
        for (index in 1L..50_000) ledger.updatePeer("p", 1, mapOf(index to mapOf(a to 1L)))
        ledger.forgetBefore(50_001)
        ledger.updatePeer("p", 1, mapOf(50_001L to mapOf(a to 1L)))
        assertEquals(1, ledger.total(50_001).counts[a])
    }

    @Test
    fun `an instance is missing until its newest process has told that the counts are final`() {
        assertEquals(setOf("p", "q"), ledger.missing(0, setOf("p", "q")))
        ledger.updatePeer("p", 1, emptyMap(), 1)
        assertEquals(setOf("q"), ledger.missing(0, setOf("p", "q")))
        ledger.updatePeer("p", 2, emptyMap(), 0)
        assertEquals(setOf("p"), ledger.missing(0, setOf("p")))
        ledger.updatePeer("p", 1, emptyMap(), 5)
        assertEquals(setOf("p"), ledger.missing(0, setOf("p")))
    }

    @Test
    fun `the counts of a call that is answered just after the end of its window are not final before`() {
        assertEquals(0, ledger.firstOpenWindow(5_500))
        assertEquals(1, ledger.firstOpenWindow(5_800))
    }

    @Test
    fun `only counts that are not reported are told again`() {
        for (index in 0L..20L) ledger.onStarted(a, index * 5_000)
        assertEquals((17L..20L).toSet(), ledger.unreportedWindows(null).keys)
        assertEquals((19L..20L).toSet(), ledger.unreportedWindows(18).keys)
        assertEquals((9L..20L).toSet(), ledger.unreportedWindows(1).keys)
        assertEquals(setOf(20L), ledger.unreportedWindows(25).keys)
    }

    @Test
    fun `counts of ended processes are passed on until their windows are reported`() {
        ledger.updatePeer("p", 1, mapOf(3L to mapOf(a to 3L)), 3)
        ledger.updatePeer("q", 1, mapOf(3L to mapOf(a to 4L)), 3)
        assertEquals(emptyList(), ledger.endedProcesses(2, setOf("p", "q")))
        ledger.updatePeer("p", 2, emptyMap(), 3)
        val ended = EndedProcessUsage("p", 1, mapOf(3L to mapOf(a to 3L)))
        assertEquals(listOf(ended), ledger.endedProcesses(2, setOf("p", "q")))
        assertEquals(setOf("p", "q"), ledger.endedProcesses(2, emptySet()).map { it.instance }.toSet())
        assertEquals(emptyList(), ledger.endedProcesses(3, emptySet()))
        val successor = UsageLedger(5_000)
        successor.onEnded(ended)
        assertEquals(listOf(ended), successor.endedProcesses(2, setOf("p")))
    }
}
