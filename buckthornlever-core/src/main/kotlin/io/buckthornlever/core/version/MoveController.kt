package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.version.MoveId
import io.buckthornlever.api.version.MoveState
import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.api.version.VersionMove
import java.time.Duration
import java.time.Instant

/** Controls one move on one instance: collects evidence, merges stops and records, and issues the resulting commands. */
internal class MoveController(
    private val self: InstanceId,
    val id: MoveId,
    move: VersionMove,
    private val evidenceInterval: () -> Duration,
) {
    val evidence = Evidence(self, id)
    var stop: VersionStop? = null
        private set
    var status: MoveStatus? = null
        private set
    private var move = move
    private var schedule = MoveSchedule(move)
    private var assessment = Assessment.NONE
    private var assessedRevision = -1L
    private val statusWriter = MoveStatusWriter(ObjectKey("status/moves/${id.pool}"), id.pool)
    private var evidenceSentAt = Instant.MIN
    private var gossipedAt = Instant.MIN
    private var reportedState: MoveState? = null
    private var canCarryLoad = true

    /** False while the new version may get no larger share, whatever the time. */
    private val allowsProgress: Boolean get() = assessment.allowsProgress && canCarryLoad && !hasTooFewOutcomes()

    /** Applies a changed due time or share limit. */
    fun reconfigure(changed: VersionMove) {
        if (changed == move) return
        move = changed
        schedule = MoveSchedule(changed)
    }

    fun weights(now: Instant): VersionWeights = VersionWeights(move.from, move.to, currentSharePermille(now))

    fun mergeStop(other: VersionStop) {
        val own = stop
        // All instances keep the same one of several stops, so that the recorded reason does not depend on the order of arrival.
        if (own == null || STOP_ORDER.compare(other, own) < 0) stop = other
    }

    fun mergeStatus(other: MoveStatus) {
        if (other.move != id) return
        status = status?.merge(other) ?: other
    }

    fun onStoreRestored(): Unit = statusWriter.onStoreRestored()

    fun onStatusRead(
        stored: MoveStatus?,
        version: ObjectVersion?,
    ) {
        statusWriter.onRead(stored, version)
        stored?.let(::mergeStatus)
    }

    fun onStatusWritten(
        written: MoveStatus,
        version: ObjectVersion?,
    ) {
        statusWriter.onWritten(written, version)
        if (version != null) mergeStatus(written)
    }

    fun tick(
        now: Instant,
        lease: HeldLease?,
        canCarryLoad: Boolean,
    ): List<MoveCommand> {
        this.canCarryLoad = canCarryLoad
        evidence.prune(now)
        val commands = mutableListOf<MoveCommand>()
        if (raiseStopIfBad(now)) stop?.let { commands.add(MoveCommand.GossipStop(it)) }
        if (now >= schedule.start && now >= evidenceSentAt.plusOrMin(evidenceInterval())) {
            evidence.nextDelta(MAX_DELTA_ROWS)?.let { commands.add(MoveCommand.SendEvidence(it)) }
            evidenceSentAt = now
        }
        if (lease != null && now < lease.expiresAt) statusWriter.nextCommand(desiredStatus(now, lease), now)?.let(commands::add)
        if (now >= gossipedAt.plusOrMin(GOSSIP_PERIOD)) {
            stop?.let { commands.add(MoveCommand.GossipStop(it)) }
            status?.let { commands.add(MoveCommand.GossipStatus(it)) }
            gossipedAt = now
        }
        status?.takeIf { it.state != MoveState.IN_PROGRESS && it.state != reportedState }?.let {
            reportedState = it.state
            commands.add(MoveCommand.ReportEnd(it))
        }
        return commands
    }

    private fun currentSharePermille(now: Instant): Int {
        val current = status
        if (stop != null || current?.state == MoveState.ROLLED_BACK) return 0
        if (current?.state == MoveState.DONE) return MoveSchedule.FULL_PERMILLE
        return if (now < schedule.start) 0 else current?.sharePermille ?: 0
    }

    /** Evaluates new evidence; returns true when this call raised a stop. */
    private fun raiseStopIfBad(now: Instant): Boolean {
        if (stop != null || assessedRevision == evidence.revision || status?.state == MoveState.DONE) return false
        assessedRevision = evidence.revision
        assessment = VersionComparison(evidence.totals).assess()
        if (!assessment.isBad) return false
        stop = VersionStop(id, assessment.worstTest, now.toString(), self)
        return true
    }

    /** The record that the store should hold according to this instance, which holds [lease]. */
    private fun desiredStatus(
        now: Instant,
        lease: HeldLease,
    ): MoveStatus? {
        val current = status
        val activeStop = stop
        if (activeStop != null) return finalStatus(MoveState.ROLLED_BACK, lease, now, listOf(activeStop.reason))
        if (current == null) return if (now >= schedule.start) initialStatus(now, lease) else null
        if (current.state != MoveState.IN_PROGRESS) return current
        val step = schedule.shares.indexOfLast { it <= current.sharePermille }.coerceAtLeast(0)
        val since = Instant.parse(current.shareSince)
        if (current.sharePermille == MoveSchedule.FULL_PERMILLE && schedule.mayComplete(since, now) && allowsProgress) {
            return finalStatus(MoveState.DONE, lease, now, current.reasons)
        }
        if (now >= schedule.decision && !allowsProgress) return finalStatus(MoveState.ROLLED_BACK, lease, now, risks(step, now))
        val raisesShare = step + 1 < schedule.shares.size && schedule.mayEnterStep(step + 1, since, now) && mayRaiseShare(step, now)
        val risks = risks(step, now)
        val next = if (!raisesShare) current else current.copy(sharePermille = schedule.shares[step + 1], shareSince = now.toString())
        val updated = next.copy(atRisk = risks.isNotEmpty(), reasons = risks)
        return if (updated == current) current else updated.copy(fencing = lease.fencing, sequence = current.sequence + 1)
    }

    private fun initialStatus(
        now: Instant,
        lease: HeldLease,
    ): MoveStatus {
        val risks = risks(0, now)
        return MoveStatus(
            id,
            MoveState.IN_PROGRESS,
            schedule.shares.first(),
            now.toString(),
            lease.fencing,
            sequence = 1,
            atRisk = risks.isNotEmpty(),
            reasons = risks,
        )
    }

    private fun finalStatus(
        state: MoveState,
        lease: HeldLease,
        now: Instant,
        reasons: List<String>,
    ): MoveStatus {
        val current = status
        if (current?.state == state) return current
        val share = if (state == MoveState.DONE) MoveSchedule.FULL_PERMILLE else 0
        return MoveStatus(id, state, share, now.toString(), lease.fencing, (current?.sequence ?: 0) + 1, reasons = reasons)
    }

    private fun mayRaiseShare(
        step: Int,
        now: Instant,
    ): Boolean {
        if (!allowsProgress) return false
        return assessment.isProvenGood || schedule.mustRaiseNow(step, now)
    }

    /** True when far fewer attempts of the new version have ended than its share of traffic predicts; they may be hanging. */
    private fun hasTooFewOutcomes(): Boolean {
        val current = status ?: return false
        val share = current.sharePermille
        if (share >= MoveSchedule.FULL_PERMILLE) return false
        val recent = evidence.attemptsSince(Instant.parse(current.shareSince).plus(FIRST_RESPONSE_TIME))
        val expected = recent.first.toDouble() * share / (MoveSchedule.FULL_PERMILLE - share)
        return expected >= MIN_EXPECTED_ATTEMPTS && recent.second < expected / 4
    }

    private fun risks(
        step: Int,
        now: Instant,
    ): List<String> {
        val risks = mutableListOf<String>()
        if (!schedule.isFeasible(step, now)) risks.add("not enough time is left before ${move.dueAt}")
        if (!assessment.allowsProgress) risks.add("undecided evidence against the new version: ${assessment.worstTest}")
        if (!canCarryLoad) risks.add("the new version has too few upstreams")
        if (hasTooFewOutcomes()) risks.add("few attempts of the new version end")
        return risks
    }

    private fun Instant.plusOrMin(period: Duration): Instant = if (this == Instant.MIN) this else plus(period)

    private companion object {
        val GOSSIP_PERIOD: Duration = Duration.ofSeconds(1)

        /** A row takes about 25 bytes in CBOR, so a delta stays below the datagram limit of 1,200 bytes. */
        const val MAX_DELTA_ROWS = 36

        /** Time after a change of the share in which the first responses may still be outstanding. */
        val FIRST_RESPONSE_TIME: Duration = Duration.ofSeconds(5)
        const val MIN_EXPECTED_ATTEMPTS = 20.0
        val STOP_ORDER: Comparator<VersionStop> = compareBy({ it.raisedAt }, { it.raisedBy }, { it.reason })
    }
}
