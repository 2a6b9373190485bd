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
import io.buckthornlever.api.serving.StoreRevision
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
import io.buckthornlever.core.serving.UsageReportPlan
import java.time.Duration
import java.util.TreeMap
import java.util.TreeSet

/**
 * Competes for the duty lease of the site and, while holding it, reports usage windows to the platform. The counts of a window
 * are first persisted by creating an object in the store, so that a repeated report, also by a later holder, has the same counts.
 *
 * @param usageLate time from the end of a window until its report is due; null if it is not known
 * @param instances names of the other instances that are alive, null until they have been listed
 * @param onGained called when this instance has gained the lease
 * @param onResigned called when this instance gives back the lease that it held, with the version of its record
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
    usageLate: Duration? = null,
    private val instances: () -> Set<String>? = { emptySet() },
    private val onGained: () -> Unit = {},
    private val onResigned: (ObjectVersion) -> Unit = {},
) {
    private val leaseMachine = LeaseMachine(leaseSettings(leaseTtl))
    private val reportPlan = UsageReportPlan(usageWindow?.toMillis() ?: 1, usageLate?.toMillis())
    private var state = LeaseState(InstanceId(self), clock.now().toEpochMilli())
    private var heldElsewhereUntil = Long.MIN_VALUE
    private var lastStepAt = Long.MIN_VALUE / 2
    private var gainedAt = Long.MIN_VALUE / 2
    private var supersededFencing = Long.MIN_VALUE
    private var prunedInWindow = Long.MIN_VALUE

    /** Since this window no other instance can have persisted one, while this instance holds the lease. */
    private var firstHeldWindow = Long.MAX_VALUE

    /** Era of the store for which [firstCountedWindow] accounts; null until the lease has been read or a restore noticed. */
    private var noticedEra: Long? = null

    /**
     * Windows before this one may have been reported by a holder whose record of it is lost, with other counts. Stored with the lease
     * for later holders, which may start long after the restore; null before the first restore.
     */
    private var firstCountedWindow: Long? = null

    /** What this instance has persisted or reported; the store may lose it. */
    private val persistedWindows = TreeMap<Long, UsageWindow>()
    private val lostWindows = TreeSet<Long>()
    private val pendingWindows = HashSet<Long>()

    /** Monotonic time from which each window that this instance cannot count itself is read again. */
    private val readFrom = HashMap<Long, Long>()

    /** Since then no report has been accepted although some were sent; null while reports are accepted. */
    private var reportsFailSince: Long? = null
    private var abstainsUntil = Long.MIN_VALUE

    /** Fencing token of the lease while this instance may act on it, null otherwise. */
    val fencing: Long? get() = permit()?.fencing

    /** Version of the lease record that this instance holds and the time for which it may still act on it; null without the lease. */
    val heldLease: Pair<ObjectVersion, Duration>? get() =
        state.held?.let { it.version to Duration.ofNanos(maxOf(0, it.expiresAt - clock.monotonicNanos())) }

    /** True while this instance does not know whether its last write of the lease has taken effect. */
    val isRenewalUncertain: Boolean get() = state.pending?.uncertain == true

    /** The newest usage window up to which all are reported, as far as this instance knows. */
    val reportedThrough: Long? get() = reportPlan.reportedThrough

    /** Called when a peer announces that it holds the lease; suspends polling of the store for [HELD_ELSEWHERE_TTL]. */
    fun onHeldElsewhere(reportedThrough: Long?) {
        heldElsewhereUntil = clock.monotonicNanos() + HELD_ELSEWHERE_TTL.toNanos()
        reportedThrough?.let(reportPlan::onReportedThrough)
    }

    /**
     * Called when the holder announces that it acts on the lease record at [version] for at most [left].
     *
     * @param isUncertain true if the holder may have written a newer record without having got the response. The wait for the expiry
     * of that one starts when this instance first reads it, so it polls the store meanwhile.
     */
    fun onHolderAnnounced(
        version: ObjectVersion,
        left: Duration,
        isUncertain: Boolean = false,
    ) {
        val now = clock.monotonicNanos()
        val expiresAt = now + left.toNanos()
        step(LeaseEvent.HolderAnnounced(version, expiresAt))
        heldElsewhereUntil = if (isUncertain) now else minOf(heldElsewhereUntil, expiresAt)
    }

    /**
     * Advances the lease protocol and reports usage that is due.
     *
     * @param isCandidate true if this instance is one of the few that poll for a free lease on every tick
     */
    fun tick(isCandidate: Boolean) {
        val now = Moment.of(clock)
        val isInvolved = state.held != null || state.pending != null || state.readDeadline != null
        val interval = if (isCandidate) Duration.ZERO else NON_CANDIDATE_INTERVAL
        val mayPoll = now.nanos >= maxOf(heldElsewhereUntil, abstainsUntil) && now.nanos - lastStepAt >= interval.toNanos()
        if (isInvolved || mayPoll) {
            lastStepAt = now.nanos
            step(LeaseEvent.Tick)
        }
        if (state.held?.let { isOfEarlierEra(it.fencing) } == true) step(LeaseEvent.ResignRequested)
        pruneLedger(now.wallMillis)
        lostWindows.toList().forEach(::persistAgain)
        val hasGatheredUsage = now.nanos - gainedAt >= USAGE_GATHERING_TIME.toNanos()
        if (usageWindow != null && permit() != null && hasGatheredUsage) reportUsage(now)
    }

    /** Gives the lease back, so that another instance can take it over before it expires. Nothing may be ordered under it any more. */
    fun resign() {
        val version = state.held?.version ?: return
        step(LeaseEvent.ResignRequested)
        onResigned(version)
    }

    /** The store was restored from a copy: the lease is lost and the usage windows persisted since have to be persisted again. */
    fun onStoreRestored() {
        onEraChanged()
        val heldLease = leaseMachine.permit(state, true, Moment.of(clock)) != null
        if (usageWindow != null && heldLease) persistUnreported()
        lostWindows.addAll(persistedWindows.keys)
    }

    /** Adds the windows that were due while the store was away: this instance held the lease, so nobody else has reported them. */
    private fun persistUnreported() {
        for (index in firstHeldWindow until (firstCountedWindow ?: return)) {
            if (reportPlan.isReported(index)) continue
            usageLedger.total(index).takeIf { it.counts.isNotEmpty() }?.let { persistedWindows.putIfAbsent(index, it) }
        }
    }

    private fun onEraChanged() {
        noticedEra = store.era
        // A holder may have reported a window as soon as its counts were final.
        val unsettled = usageLedger.firstOpenWindow(clock.now().toEpochMilli())
        firstCountedWindow = maxOf(firstCountedWindow ?: unsettled, unsettled)
    }

    private fun permit(): LeasePermit? =
        leaseMachine.permit(state, true, Moment.of(clock))?.takeIf { it.fencing > supersededFencing && !isOfEarlierEra(it.fencing) }

    /** True if the store has been restored since [fencing] was given out, so that another instance may hold the lease. */
    private fun isOfEarlierEra(fencing: Long): Boolean = StoreRevision.eraOf(fencing) < store.era

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
                gainedAt = clock.monotonicNanos()
                firstHeldWindow = usageLedger.windowIndex(clock.now().toEpochMilli())
                log.write(GatewayEvent.LEASE_GAINED, "fencing" to command.fencing)
                onGained()
            }
            is LeaseCommand.Lost -> log.write(GatewayEvent.LEASE_LOST, "reason" to command.reason)
        }
    }

    private fun readLease() {
        store.read(StateKind.LEASES, LEASE_NAME) { result ->
            result.onSuccess { found ->
                onLeaseRead((found.value as? StateValue.Lease)?.lease)
                step(LeaseEvent.ReadDone(ObjectVersion(found.revision), toStoredLease(found)))
            }
            result.onFailure { failure ->
                if (failure != StateFailure.NotFound) return@onFailure step(LeaseEvent.ReadFailed)
                onLeaseRead(null)
                step(LeaseEvent.ReadDone(ObjectVersion(StoreRevision.of(store.era, 0)), null))
            }
        }
    }

    private fun onLeaseRead(lease: StoredDutyLease?) {
        lease?.firstCountedWindow?.let { firstCountedWindow = maxOf(firstCountedWindow ?: it, it) }
        lease?.reportedThrough?.let(reportPlan::onReportedThrough)
        // A process that started after a restore learns of it from the lease that the store had before.
        val before = noticedEra ?: lease?.let { StoreRevision.eraOf(it.fencing) } ?: store.era
        noticedEra = store.era
        if (before < store.era) onEraChanged()
    }

    private fun writeLease(command: LeaseCommand.Write) {
        val record = command.record
        val value = StateValue.Lease(
            StoredDutyLease(record.holder?.value, record.fencing, record.token, record.ttlMillis, firstCountedWindow, reportedThrough),
        )
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
        val index = usageLedger.windowIndex(wallMillis)
        if (index == prunedInWindow) return
        prunedInWindow = index
        // Counts of windows that were reported shortly before are kept, since a restored store may lack their objects.
        val firstUnreported = reportedThrough?.let { minOf(index, it + 1) } ?: index - UsageLedger.RETAINED_WINDOWS
        usageLedger.forgetBefore(maxOf(index - UsageLedger.RETAINED_WINDOWS, firstUnreported - KEPT_REPORTED_WINDOWS))
        readFrom.keys.removeIf { it < index - UsageLedger.RETAINED_WINDOWS }
        persistedWindows.headMap(index - KEPT_REPORTED_WINDOWS).clear()
        lostWindows.headSet(index - KEPT_REPORTED_WINDOWS).clear()
    }

    private fun reportUsage(now: Moment) {
        reportPlan.due(now.wallMillis, now.nanos, ::isFinal).forEach { if (pendingWindows.add(it)) persistCounts(it) }
    }

    /** True if no instance can add to the counts of window [index] any more. */
    private fun isFinal(index: Long): Boolean =
        usageLedger.firstOpenWindow(clock.now().toEpochMilli()) > index &&
            instances()?.let { usageLedger.missing(index, it).isEmpty() } == true

    /** Persists the counts of window [index] and reports them; if the store already has counts for the window, reports those. */
    private fun persistCounts(index: Long) {
        val name = index.toString()
        val window = usageLedger.total(index)
        // The window may have ended before this process received any counts from its peers.
        if (window.counts.isEmpty() || firstCountedWindow?.let { index < it } == true) return reportStored(name, index)
        store.create(StateKind.USAGE_WINDOWS, name, StateValue.Usage(window)) { result ->
            result.onSuccess { report(window) }
            result.onFailure { failure -> if (failure is StateFailure.Conflict) reportStored(name, index) else onReportFailed(index) }
        }
    }

    private fun onReportFailed(index: Long) {
        pendingWindows.remove(index)
        reportPlan.onFailed(index, clock.monotonicNanos())
    }

    private fun persistAgain(index: Long) {
        val window = persistedWindows[index] ?: return
        if (!pendingWindows.add(index)) return
        store.create(StateKind.USAGE_WINDOWS, index.toString(), StateValue.Usage(window)) { result ->
            pendingWindows.remove(index)
            result.onSuccess { lostWindows.remove(index) }
            result.onFailure { if (it is StateFailure.Conflict) lostWindows.remove(index) }
        }
    }

    private fun reportStored(
        name: String,
        index: Long,
    ) {
        val now = clock.monotonicNanos()
        if (now < (readFrom[index] ?: Long.MIN_VALUE)) {
            pendingWindows.remove(index)
            return
        }
        readFrom[index] = now + MISSING_WINDOW_INTERVAL.toNanos()
        store.read(StateKind.USAGE_WINDOWS, name) { result ->
            result.onSuccess { found -> (found.value as? StateValue.Usage)?.let { report(it.window) } ?: onReportFailed(index) }
            result.onFailure { failure -> if (failure == StateFailure.NotFound) onNothingStored(index) else onReportFailed(index) }
        }
    }

    /** Neither the store nor this instance has counts for window [index]. */
    private fun onNothingStored(index: Long) {
        pendingWindows.remove(index)
        val isBeforeRestore = firstCountedWindow?.let { index < it } == true
        if (!isBeforeRestore && isFinal(index) && usageLedger.total(index).counts.isEmpty()) reportPlan.onReported(index)
    }

    private fun report(window: UsageWindow) {
        persistedWindows[window.index] = window
        val permit = permit() ?: return onReportFailed(window.index)
        val missing = instances()?.let { usageLedger.missing(window.index, it).size }
        duties.reportUsage(self, permit.fencing, window) { outcome ->
            log.write(
                GatewayEvent.USAGE_REPORTED,
                "window" to window.index,
                "fencing" to permit.fencing,
                "outcome" to outcome,
                "missing" to missing,
                "overdue" to reportPlan.isOverdue(window.index, clock.now().toEpochMilli()),
            )
            if (outcome == DutyOutcome.ACCEPTED) {
                pendingWindows.remove(window.index)
                reportPlan.onReported(window.index)
                reportsFailSince = null
            } else {
                onReportFailed(window.index)
                if (outcome == DutyOutcome.CONFLICT) onSuperseded(permit.fencing) else onCloudFailed()
            }
        }
    }

    /** Hands the lease over if reports have failed for some time, since another instance may reach the cloud API. */
    private fun onCloudFailed() {
        val now = clock.monotonicNanos()
        val since = reportsFailSince ?: now.also { reportsFailSince = it }
        if (now - since < MAX_REPORT_FAILURE.toNanos() || instances().isNullOrEmpty()) return
        reportsFailSince = null
        abstainsUntil = now + ABSTENTION.toNanos()
        resign()
    }

    /** The platform has seen a fencing token higher than [fencing]: stops acting under [fencing] and resigns the lease. */
    fun onSuperseded(fencing: Long) {
        supersededFencing = maxOf(supersededFencing, fencing)
        step(LeaseEvent.ResignRequested)
    }

    private companion object {
        /** Time without an accepted report after which the holder gives the lease to another instance. */
        val MAX_REPORT_FAILURE: Duration = Duration.ofSeconds(3)

        /** Time for which an instance that could not report leaves the lease to others. */
        val ABSTENTION: Duration = Duration.ofSeconds(6)

        const val LEASE_NAME = "duties"

        /** Past windows whose reported counts are kept in case a restored store lacks them. */
        const val KEPT_REPORTED_WINDOWS = 8L

        /** Delay before a new holder reports, in which it receives the counts that the other instances sent to its predecessor. */
        val USAGE_GATHERING_TIME: Duration = Duration.ofMillis(1_200)

        /** Interval at which a window is read that is not stored; each call to the store has a cost. */
        val MISSING_WINDOW_INTERVAL: Duration = Duration.ofSeconds(1)

        /** Validity of a peer's announcement that it holds the lease; several times the interval of these announcements. */
        val HELD_ELSEWHERE_TTL: Duration = Duration.ofSeconds(2)

        /** Interval at which non-candidates check for a free lease, in case all candidates are cut off from the store. */
        val NON_CANDIDATE_INTERVAL: Duration = Duration.ofSeconds(6)

        fun leaseSettings(ttl: Duration): LeaseSettings =
            LeaseSettings(
                ttl = ttl,
                renewInterval = ttl.dividedBy(3),
                readInterval = Duration.ofMillis(700),
                callTimeout = Duration.ofMillis(900),
                clockErrorBound = Duration.ofMillis(300),
            )
    }
}
