package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.UpstreamOrder
import io.buckthornlever.api.serving.UsageWindow
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.serving.UsageLedger
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class DutyRunnerTest {
    private val clock = ManualClock()
    private val store = InMemoryStore()
    private val duties = RecordingDuties()
    private val ledger = UsageLedger(WINDOW.toMillis())
    private val runner = DutyRunner("i", clock, store, duties, ledger, WINDOW, Duration.ofSeconds(3), EventLog("i"))

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
    }
}
