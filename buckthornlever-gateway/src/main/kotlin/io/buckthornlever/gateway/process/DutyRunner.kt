package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoredDutyLease
import io.buckthornlever.api.serving.UsageWindow
import io.buckthornlever.core.process.lease.LeaseCommand
import io.buckthornlever.core.process.lease.LeaseEvent
import io.buckthornlever.core.process.lease.LeaseMachine
import io.buckthornlever.core.process.lease.LeasePermit
import io.buckthornlever.core.process.lease.LeaseRecord
import io.buckthornlever.core.process.lease.LeaseSettings
import io.buckthornlever.core.process.lease.LeaseState
import io.buckthornlever.core.process.lease.StoredLease
import io.buckthornlever.core.process.membership.Moment
import io.buckthornlever.core.serving.UsageLedger
import java.time.Duration

/**
 * Singleton duties of one site under a fenced lease. The usage of a window is fixed by creating an object in the store before
 * it is reported, so that whoever reports it again reports the same counts.
 */
internal class DutyRunner(
    private val self: String,
    private val clock: Clock,
    private val store: StateStore,
    private val duties: SingletonDuties,
    private val ledger: UsageLedger,
    private val usageWindow: Duration?,
    leaseTtl: Duration,
    private val log: EventLog,
) {
    private val machine = LeaseMachine(settings(leaseTtl))
    private var state = LeaseState(InstanceId(self), clock.now().toEpochMilli())
    private var othersHoldUntil = Long.MIN_VALUE
    private var steppedAt = Long.MIN_VALUE / 2
    private var gainedAt = Long.MIN_VALUE / 2
    private var fenced = Long.MIN_VALUE
    private var forgottenAt = Long.MIN_VALUE
    private val settled = HashSet<Long>()
    private val pending = HashSet<Long>()

    /** Fencing number while this instance may act, or null. */
    val fencing: Long? get() = permit()?.fencing

    /** A peer says that it holds the lease; the store need not be asked for some time. */
    fun heldElsewhere() {
        othersHoldUntil = clock.monotonicNanos() + HEARSAY.toNanos()
    }

    /** Takes part in the lease; [isCandidate] tells whether this instance is among the first that should hold it. */
    fun tick(isCandidate: Boolean) {
        val now = Moment.of(clock)
        val involved = state.held != null || state.pending != null || state.readDeadline != null
        val pace = if (isCandidate) Duration.ZERO else OTHERS_PACE
        if (involved || (now.nanos >= othersHoldUntil && now.nanos - steppedAt >= pace.toNanos())) {
            steppedAt = now.nanos
            step(LeaseEvent.Tick)
        }
        forget(now.wallMillis)
        val heardAll = now.nanos - gainedAt >= GATHER.toNanos()
        if (usageWindow != null && permit() != null && heardAll) reportUsage(now.wallMillis)
    }

    private fun permit(): LeasePermit? = machine.permit(state, true, Moment.of(clock))?.takeIf { it.fencing > fenced }

    private fun step(event: LeaseEvent) {
        val transition = machine.step(state, event, Moment.of(clock))
        state = transition.state
        transition.commands.forEach(::run)
    }

    private fun run(command: LeaseCommand) {
        when (command) {
            LeaseCommand.Read -> read()
            is LeaseCommand.Write -> write(command)
            is LeaseCommand.Gained -> {
                settled.clear()
                gainedAt = clock.monotonicNanos()
                log.write(GatewayEvent.LEASE_GAINED, "fencing" to command.fencing)
            }
            is LeaseCommand.Lost -> log.write(GatewayEvent.LEASE_LOST, "reason" to command.reason)
        }
    }

    private fun read() {
        store.read(StateKind.LEASES, LEASE_NAME) { result ->
            result.onSuccess { found -> step(LeaseEvent.ReadDone(ObjectVersion(found.revision), stored(found))) }
            result.onFailure { failure ->
                step(if (failure == StateFailure.NotFound) LeaseEvent.ReadDone(ObjectVersion(0), null) else LeaseEvent.ReadFailed)
            }
        }
    }

    private fun write(command: LeaseCommand.Write) {
        val record = command.record
        val value = StateValue.Lease(StoredDutyLease(record.holder?.value, record.fencing, record.token, record.ttlMillis))
        val done = { result: Result<StateObject, StateFailure> ->
            result.onSuccess { step(LeaseEvent.WriteDone(record.token, ObjectVersion(it.revision))) }
            result.onFailure { failure ->
                step(if (failure is StateFailure.Refused) LeaseEvent.WriteFailed(record.token) else LeaseEvent.WriteUncertain(record.token))
            }
            Unit
        }
        val expected = command.expected
        if (expected == null) {
            store.create(StateKind.LEASES, LEASE_NAME, value, done)
        } else {
            store.replace(StateKind.LEASES, LEASE_NAME, expected.value, value, done)
        }
    }

    private fun stored(found: StateObject): StoredLease? {
        val lease = (found.value as? StateValue.Lease)?.lease ?: return null
        val record = LeaseRecord(lease.holder?.let(::InstanceId), lease.fencing, lease.token, lease.ttlMillis)
        return StoredLease(ObjectVersion(found.revision), record)
    }

    private fun forget(wallMillis: Long) {
        val index = ledger.windowIndex(wallMillis)
        if (index == forgottenAt) return
        forgottenAt = index
        ledger.forgetBefore(index - REMEMBERED_WINDOWS)
    }

    private fun reportUsage(wallMillis: Long) {
        val newest = ledger.windowIndex(wallMillis - SETTLE.toMillis()) - 1
        for (index in newest - REPEATED_WINDOWS..newest) {
            if (index in settled || !pending.add(index)) continue
            fix(index)
        }
    }

    /** Fixes the counts of window [index] in the store, or takes those that are there. */
    private fun fix(index: Long) {
        val name = index.toString()
        val counted = ledger.total(index)
        // A window from before this process heard of its peers may not be known here.
        if (counted.counts.isEmpty()) return reportStored(name, index)
        store.create(StateKind.USAGE_WINDOWS, name, StateValue.Usage(counted)) { result ->
            result.onSuccess { report(counted) }
            result.onFailure { failure -> if (failure is StateFailure.Conflict) reportStored(name, index) else pending.remove(index) }
        }
    }

    private fun reportStored(
        name: String,
        index: Long,
    ) {
        store.read(StateKind.USAGE_WINDOWS, name) { result ->
            result.onSuccess { found -> (found.value as? StateValue.Usage)?.let { report(it.window) } ?: pending.remove(index) }
            result.onFailure { pending.remove(index) }
        }
    }

    private fun report(window: UsageWindow) {
        val permit = permit()
        if (permit == null) {
            pending.remove(window.index)
            return
        }
        duties.reportUsage(self, permit.fencing, window) { outcome ->
            pending.remove(window.index)
            log.write(GatewayEvent.USAGE_REPORTED, "window" to window.index, "fencing" to permit.fencing, "outcome" to outcome)
            if (outcome == DutyOutcome.ACCEPTED) settled.add(window.index)
            if (outcome == DutyOutcome.CONFLICT) superseded(permit.fencing)
        }
    }

    /** The platform has seen a higher number than [fencing]; this holder does not act again. */
    fun superseded(fencing: Long) {
        fenced = maxOf(fenced, fencing)
        step(LeaseEvent.ResignRequested)
    }

    private companion object {
        const val LEASE_NAME = "duties"

        /** Windows before the newest that a holder reports again, since its predecessor may not have. */
        const val REPEATED_WINDOWS = 3L

        /** Windows whose counts are kept. */
        const val REMEMBERED_WINDOWS = 8L

        /** Time after the end of a window in which the counts of all instances arrive. */
        val SETTLE: Duration = Duration.ofMillis(1_500)

        /** Time in which a new holder hears what the others have counted; they told its predecessor. */
        val GATHER: Duration = Duration.ofMillis(1_200)

        /** Time for which a peer's word about the lease counts; several of its messages. */
        val HEARSAY: Duration = Duration.ofSeconds(2)

        /** Interval in which instances that are no candidates look whether anyone holds the lease; the candidates may all be cut off. */
        val OTHERS_PACE: Duration = Duration.ofSeconds(6)

        fun settings(ttl: Duration): LeaseSettings =
            LeaseSettings(
                ttl = ttl,
                renewInterval = ttl.dividedBy(3),
                readInterval = Duration.ofMillis(700),
                callTimeout = Duration.ofMillis(900),
                clockErrorBound = Duration.ofMillis(300),
            )
    }
}
