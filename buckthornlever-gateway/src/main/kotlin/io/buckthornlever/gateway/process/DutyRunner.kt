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
    private val usageLedger: UsageLedger,
    private val usageWindow: Duration?,
    leaseTtl: Duration,
    private val log: EventLog,
) {
    private val leaseMachine = LeaseMachine(leaseSettings(leaseTtl))
    private var state = LeaseState(InstanceId(self), clock.now().toEpochMilli())
    private var heldElsewhereUntil = Long.MIN_VALUE
    private var lastStepAt = Long.MIN_VALUE / 2
    private var gainedAt = Long.MIN_VALUE / 2
    private var supersededFencing = Long.MIN_VALUE
    private var prunedInWindow = Long.MIN_VALUE
    private val reportedWindows = HashSet<Long>()
    private val pendingWindows = HashSet<Long>()

    /** Fencing number while this instance may act, or null. */
    val fencing: Long? get() = permit()?.fencing

    /** A peer says that it holds the lease; the store need not be asked for some time. */
    fun onHeldElsewhere() {
        heldElsewhereUntil = clock.monotonicNanos() + HELD_ELSEWHERE_TTL.toNanos()
    }

    /** Takes part in the lease; [isCandidate] tells whether this instance is among the first that should hold it. */
    fun tick(isCandidate: Boolean) {
        val now = Moment.of(clock)
        val isInvolved = state.held != null || state.pending != null || state.readDeadline != null
        val interval = if (isCandidate) Duration.ZERO else NON_CANDIDATE_INTERVAL
        if (isInvolved || (now.nanos >= heldElsewhereUntil && now.nanos - lastStepAt >= interval.toNanos())) {
            lastStepAt = now.nanos
            step(LeaseEvent.Tick)
        }
        pruneLedger(now.wallMillis)
        val hasGatheredUsage = now.nanos - gainedAt >= USAGE_GATHERING_TIME.toNanos()
        if (usageWindow != null && permit() != null && hasGatheredUsage) reportUsage(now.wallMillis)
    }

    private fun permit(): LeasePermit? = leaseMachine.permit(state, true, Moment.of(clock))?.takeIf { it.fencing > supersededFencing }

    private fun step(event: LeaseEvent) {
        val transition = leaseMachine.step(state, event, Moment.of(clock))
        state = transition.state
        transition.commands.forEach(::runCommand)
    }

    private fun runCommand(command: LeaseCommand) {
        when (command) {
            LeaseCommand.Read -> readLease()
            is LeaseCommand.Write -> writeLease(command)
            is LeaseCommand.Gained -> {
                reportedWindows.clear()
                gainedAt = clock.monotonicNanos()
                log.write(GatewayEvent.LEASE_GAINED, "fencing" to command.fencing)
            }
            is LeaseCommand.Lost -> log.write(GatewayEvent.LEASE_LOST, "reason" to command.reason)
        }
    }

    private fun readLease() {
        store.read(StateKind.LEASES, LEASE_NAME) { result ->
            result.onSuccess { found -> step(LeaseEvent.ReadDone(ObjectVersion(found.revision), toStoredLease(found))) }
            result.onFailure { failure ->
                step(if (failure == StateFailure.NotFound) LeaseEvent.ReadDone(ObjectVersion(0), null) else LeaseEvent.ReadFailed)
            }
        }
    }

    private fun writeLease(command: LeaseCommand.Write) {
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

    private fun toStoredLease(found: StateObject): StoredLease? {
        val lease = (found.value as? StateValue.Lease)?.lease ?: return null
        val record = LeaseRecord(lease.holder?.let(::InstanceId), lease.fencing, lease.token, lease.ttlMillis)
        return StoredLease(ObjectVersion(found.revision), record)
    }

    private fun pruneLedger(wallMillis: Long) {
        val index = usageLedger.windowOf(wallMillis)
        if (index == prunedInWindow) return
        prunedInWindow = index
        usageLedger.forgetBefore(index - RETAINED_WINDOWS)
    }

    private fun reportUsage(wallMillis: Long) {
        val newest = usageLedger.windowOf(wallMillis - USAGE_SETTLING_TIME.toMillis()) - 1
        for (index in newest - LOOKBACK_WINDOWS..newest) {
            if (index in reportedWindows || !pendingWindows.add(index)) continue
            persistCounts(index)
        }
    }

    /** Fixes the counts of window [index] in the store, or takes those that are there. */
    private fun persistCounts(index: Long) {
        val name = index.toString()
        val window = usageLedger.total(index)
        // A window from before this process heard of its peers may not be known here.
        if (window.counts.isEmpty()) return reportStored(name, index)
        store.create(StateKind.USAGE_WINDOWS, name, StateValue.Usage(window)) { result ->
            result.onSuccess { report(window) }
            result.onFailure { failure ->
                if (failure is StateFailure.Conflict) reportStored(name, index) else pendingWindows.remove(index)
            }
        }
    }

    private fun reportStored(
        name: String,
        index: Long,
    ) {
        store.read(StateKind.USAGE_WINDOWS, name) { result ->
            result.onSuccess { found -> (found.value as? StateValue.Usage)?.let { report(it.window) } ?: pendingWindows.remove(index) }
            result.onFailure { pendingWindows.remove(index) }
        }
    }

    private fun report(window: UsageWindow) {
        val permit = permit()
        if (permit == null) {
            pendingWindows.remove(window.index)
            return
        }
        duties.reportUsage(self, permit.fencing, window) { outcome ->
            pendingWindows.remove(window.index)
            log.write(GatewayEvent.USAGE_REPORTED, "window" to window.index, "fencing" to permit.fencing, "outcome" to outcome)
            if (outcome == DutyOutcome.ACCEPTED) reportedWindows.add(window.index)
            if (outcome == DutyOutcome.CONFLICT) onSuperseded(permit.fencing)
        }
    }

    /** The platform has seen a higher number than [fencing]; this holder does not act again. */
    fun onSuperseded(fencing: Long) {
        supersededFencing = maxOf(supersededFencing, fencing)
        step(LeaseEvent.ResignRequested)
    }

    private companion object {
        const val LEASE_NAME = "duties"

        /** Windows before the newest that a holder reports again, since its predecessor may not have. */
        const val LOOKBACK_WINDOWS = 3L

        /** Windows whose counts are kept. */
        const val RETAINED_WINDOWS = 8L

        /** Time after the end of a window in which the counts of all instances arrive. */
        val USAGE_SETTLING_TIME: Duration = Duration.ofMillis(1_500)

        /** Time in which a new holder hears what the others have counted; they told its predecessor. */
        val USAGE_GATHERING_TIME: Duration = Duration.ofMillis(1_200)

        /** Time for which a peer's word about the lease counts; several of its messages. */
        val HELD_ELSEWHERE_TTL: Duration = Duration.ofSeconds(2)

        /** Interval in which instances that are no candidates look whether anyone holds the lease; the candidates may all be cut off. */
        val NON_CANDIDATE_INTERVAL: Duration = Duration.ofSeconds(6)

        fun leaseSettings(ttl: Duration): LeaseSettings =
            LeaseSettings(
                ttl = ttl,
                renewEvery = ttl.dividedBy(3),
                readEvery = Duration.ofMillis(700),
                callTimeout = Duration.ofMillis(900),
                clockErrorBound = Duration.ofMillis(300),
            )
    }
}
