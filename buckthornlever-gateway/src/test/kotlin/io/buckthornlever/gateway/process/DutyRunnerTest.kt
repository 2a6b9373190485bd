package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.StateChanges
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
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

class DutyRunnerTest {
    private val clock = ManualClock()
    private val store = MemoryStore()
    private val duties = RecordedDuties()
    private val ledger = UsageLedger(WINDOW.toMillis())
    private val runner = DutyRunner("i", clock, store, duties, ledger, WINDOW, Duration.ofSeconds(3), EventLog("i"))

    @Test
    fun `a new holder fixes no usage before it can have heard the others`() {
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
    fun `an instance that is no candidate looks for a free lease now and then`() {
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

    private class RecordedDuties : SingletonDuties {
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

    /** Answers at once, unlike a real store; the runner does not depend on that. */
    private class MemoryStore : StateStore {
        private val objects = HashMap<Pair<StateKind, String>, StateObject>()
        private var revision = 0L
        var reads = 0

        override fun list(
            kind: StateKind,
            after: String?,
            stale: Boolean,
            done: (Result<StatePage, StateFailure>) -> Unit,
        ) = error("not used")

        override fun watch(
            kind: StateKind,
            since: Long,
            wait: Duration,
            done: (Result<StateChanges, StateFailure>) -> Unit,
        ) = error("not used")

        override fun read(
            kind: StateKind,
            name: String,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) {
            if (kind == StateKind.LEASES) reads++
            done(objects[kind to name]?.let { Ok(it) } ?: Err(StateFailure.NotFound))
        }

        override fun create(
            kind: StateKind,
            name: String,
            value: StateValue,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = done(if (kind to name in objects) Err(StateFailure.Conflict(null)) else Ok(put(kind, name, value)))

        override fun replace(
            kind: StateKind,
            name: String,
            expected: Long?,
            value: StateValue,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = done(
            if (objects[kind to name]?.revision == expected) Ok(put(kind, name, value)) else Err(StateFailure.Conflict(null)),
        )

        override fun delete(
            kind: StateKind,
            name: String,
            done: (Result<Unit, StateFailure>) -> Unit,
        ) = error("not used")

        private fun put(
            kind: StateKind,
            name: String,
            value: StateValue,
        ): StateObject = StateObject(name, ++revision, value).also { objects[kind to name] = it }
    }

    private companion object {
        val WINDOW: Duration = Duration.ofSeconds(5)
        val ACCOUNT = AccountId("a")
    }
}
