package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.UpstreamOrder
import io.buckthornlever.api.serving.UsageWindow
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.serving.UsageLedger
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class DutyRunnerTest {
    private val clock = ManualClock()
    private val store = InMemoryStore()
    private val duties = RecordingDuties()
    private val ledger = UsageLedger(WINDOW.toMillis())
    private var others = emptySet<String>()
    private val runner =
        DutyRunner("i", clock, store, duties, ledger, WINDOW, Duration.ofSeconds(3), EventLog("i"), null, { others })

    @Test
    fun `a new holder persists no usage before it can have received the counts of the others`() {
        ledger.onStarted(ACCOUNT, clock.now().toEpochMilli())
        clock.advance(WINDOW.plusSeconds(2))
        runner.tick(true)
        assertNotNull(runner.fencing)
        tickFor(Duration.ofSeconds(1))
        assertEquals(emptyList(), duties.reports)
        ledger.updatePeer("j", 1, mapOf(ledger.windowIndex(clock.now().toEpochMilli()) - 1 to mapOf(ACCOUNT to 4L)))
        tickFor(Duration.ofSeconds(1))
        assertEquals(listOf(5L), duties.reports.map { it.counts.getValue(ACCOUNT) })
    }

    @Test
    fun `an instance that is no candidate checks for a free lease at long intervals`() {
        runner.tick(false)
        assertNotNull(runner.fencing)
        val second = DutyRunner("j", clock, store, duties, ledger, WINDOW, Duration.ofSeconds(3), EventLog("j"))
        repeat(20) {
            second.tick(false)
            clock.advance(Duration.ofMillis(200))
        }
        assertNull(second.fencing)
        assertEquals(2, store.reads)
    }

    @Test
    fun `no fencing token is given out again after the store has lost the newest leases`() {
        runner.tick(true)
        store.backUp()
        val seen = ArrayList<Long>()
        val second = DutyRunner("j", clock, store, duties, ledger, WINDOW, Duration.ofSeconds(3), EventLog("j"))
        repeat(2) {
            clock.advance(Duration.ofSeconds(10))
            repeat(30) {
                second.tick(true)
                clock.advance(Duration.ofMillis(200))
            }
            seen.add(assertNotNull(second.fencing))
            store.restore()
            assertNull(second.fencing, "acts on a lease that the store has lost")
        }
        assertEquals(seen.distinct(), seen)
        assertEquals(seen.sorted(), seen)
    }

    @Test
    fun `a window that was reported before the store lost its record is reported again with the same counts only`() {
        store.backUp()
        ledger.onStarted(ACCOUNT, clock.now().toEpochMilli())
        clock.advance(WINDOW.plusSeconds(2))
        tickFor(Duration.ofSeconds(4))
        assertEquals(listOf(1L), duties.reports.map { it.counts.getValue(ACCOUNT) })
        val others = UsageLedger(WINDOW.toMillis())
        others.onStarted(ACCOUNT, clock.now().minus(WINDOW).minusSeconds(5).toEpochMilli())
        others.updatePeer("i", 1, mapOf(others.windowIndex(clock.now().toEpochMilli()) - 1 to mapOf(ACCOUNT to 1L)))
        val second = DutyRunner("j", clock, store, duties, others, WINDOW, Duration.ofSeconds(3), EventLog("j"))
        store.restore()
        second.onStoreRestored()
        repeat(40) {
            clock.advance(Duration.ofMillis(200))
            second.tick(true)
        }
        assertNotNull(second.fencing)
        val byWindow = duties.reports.groupBy { it.index }.mapValues { (_, reports) -> reports.map { it.counts }.distinct().size }
        assertEquals(emptyMap(), byWindow.filterValues { it > 1 })
    }

    @Test
    fun `a window that was due while the store was away is persisted after the restore`() {
        runner.tick(true)
        store.backUp()
        val index = ledger.windowIndex(clock.now().toEpochMilli())
        ledger.onStarted(ACCOUNT, clock.now().toEpochMilli())
        tickFor(WINDOW.plusMillis(400))
        store.isRefusing = true
        tickFor(Duration.ofMillis(1_000))
        store.restore()
        store.isRefusing = false
        runner.onStoreRestored()
        tickFor(Duration.ofMillis(400))
        assertEquals(StateValue.Usage(ledger.total(index)), store.valueOf(StateKind.USAGE_WINDOWS, index.toString()))
    }

    @Test
    fun `a holder persists the windows that it has reported again after the store has lost them`() {
        store.backUp()
        ledger.onStarted(ACCOUNT, clock.now().toEpochMilli())
        clock.advance(WINDOW.plusSeconds(2))
        tickFor(Duration.ofSeconds(4))
        val window = duties.reports.single()
        store.restore()
        assertNull(store.valueOf(StateKind.USAGE_WINDOWS, window.index.toString()))
        runner.onStoreRestored()
        tickFor(Duration.ofMillis(400))
        assertEquals(StateValue.Usage(window), store.valueOf(StateKind.USAGE_WINDOWS, window.index.toString()))
    }

    // Guards against two reports of one window with different counts, by the holder before a restore and by a much later one.
    @Test
    fun `an instance that started after a restore does not count the windows before it when it takes the lease over`() {
        store.backUp()
        ledger.onStarted(ACCOUNT, clock.now().toEpochMilli())
        val counted = ledger.windowIndex(clock.now().toEpochMilli())
        clock.advance(WINDOW.plusSeconds(2))
        tickFor(Duration.ofSeconds(2))
        assertEquals(listOf(counted), duties.reports.map { it.index })
        store.restore()
        val second = DutyRunner("j", clock, store, duties, UsageLedger(WINDOW.toMillis()), WINDOW, Duration.ofSeconds(3), EventLog("j"))
        second.onStoreRestored()
        second.tick(true)
        assertNotNull(second.fencing)
        val others = UsageLedger(WINDOW.toMillis())
        others.updatePeer("j", 1, mapOf(counted to mapOf(ACCOUNT to 4L)))
        val third = DutyRunner("k", clock, store, duties, others, WINDOW, Duration.ofSeconds(3), EventLog("k"))
        repeat(30) {
            clock.advance(Duration.ofMillis(200))
            third.tick(true)
        }
        assertNotNull(third.fencing)
        assertEquals(listOf(1L), duties.reports.filter { it.index == counted }.map { it.counts.getValue(ACCOUNT) })
    }

    @Test
    fun `a window that is not stored is read once a second while instances may still tell counts for it`() {
        others = setOf("j")
        clock.advance(WINDOW.plusSeconds(2))
        tickFor(Duration.ofSeconds(2))
        store.windowReads = 0
        tickFor(Duration.ofSeconds(2))
        assertTrue(store.windowReads in 1..LOOKBACK * 3, "${store.windowReads} reads")
    }

    @Test
    fun `a window without requests is read once`() {
        clock.advance(WINDOW.plusSeconds(2))
        tickFor(Duration.ofSeconds(10))
        assertTrue(store.windowReads in 1..LOOKBACK + 2, "${store.windowReads} reads")
        assertEquals(emptyList(), duties.reports)
    }

    private fun tickFor(time: Duration) {
        repeat((time.toMillis() / 200).toInt()) {
            clock.advance(Duration.ofMillis(200))
            runner.tick(true)
        }
    }

    private class RecordingDuties : SingletonDuties {
        val reports = ArrayList<UsageWindow>()

        override fun reportUsage(
            holder: String,
            fencing: Long,
            window: UsageWindow,
            done: (DutyOutcome) -> Unit,
        ) {
            reports.add(window)
            done(DutyOutcome.ACCEPTED)
        }

        override fun orderUpstreams(
            holder: String,
            fencing: Long,
            order: UpstreamOrder,
            done: (DutyOutcome) -> Unit,
        ) = Unit
    }

    /** Calls back before returning, unlike a real store; [DutyRunner] does not depend on either order. */
    private companion object {
        val WINDOW: Duration = Duration.ofSeconds(5)
        val ACCOUNT = AccountId("a")

        /** Windows that a holder reports at most, the newest one included. */
        const val LOOKBACK = 4
    }
}
