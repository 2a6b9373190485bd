package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.version.VersionMove
import java.time.Duration
import java.time.Instant

/** State of one move on one instance. */
internal class MoveMachine(
    private val self: InstanceId,
    val id: MoveId,
    move: VersionMove,
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
    private val record = RecordWriter(ObjectKey("status/moves/${id.pool}"), id.pool)
    private var sentEvidence = Instant.MIN
    private var sentFacts = Instant.MIN
    private var reported: MoveState? = null

    /** Takes over a changed due time or share limit. */
    fun reconfigure(changed: VersionMove) {
        if (changed == move) return
        move = changed
        schedule = MoveSchedule(changed)
    }

    fun weights(now: Instant): VersionWeights = VersionWeights(move.from, move.to, share(now))

    fun mergeStop(other: VersionStop) {
        val own = stop
        // All instances keep the same one of several stops, so that the recorded reason does not depend on the order of arrival.
        if (own == null || STOP_ORDER.compare(other, own) < 0) stop = other
    }

    fun mergeStatus(other: MoveStatus) {
        if (other.move != id) return
        status = status?.merge(other) ?: other
    }

    fun statusRead(
        stored: MoveStatus?,
        version: ObjectVersion?,
    ) {
        record.read(stored, version)
        stored?.let(::mergeStatus)
    }

    fun statusWritten(
        written: MoveStatus,
        version: ObjectVersion?,
    ) {
        record.written(written, version)
        if (version != null) mergeStatus(written)
    }

    fun tick(
        now: Instant,
        lease: HeldLease?,
    ): List<MoveCommand> {
        evidence.prune(now)
        val commands = mutableListOf<MoveCommand>()
        if (assess(now)) stop?.let { commands.add(MoveCommand.GossipStop(it)) }
        if (now >= schedule.start && now >= sentEvidence.plusOrMin(EVIDENCE_PERIOD)) {
            evidence.delta(DELTA_ROWS)?.let { commands.add(MoveCommand.SendEvidence(it)) }
            sentEvidence = now
        }
        if (lease != null && now < lease.expiresAt) record.next(desired(now, lease), now)?.let(commands::add)
        if (now >= sentFacts.plusOrMin(FACT_PERIOD)) {
            stop?.let { commands.add(MoveCommand.GossipStop(it)) }
            status?.let { commands.add(MoveCommand.GossipStatus(it)) }
            sentFacts = now
        }
        status?.takeIf { it.state != MoveState.IN_PROGRESS && it.state != reported }?.let {
            reported = it.state
            commands.add(MoveCommand.ReportEnd(it))
        }
        return commands
    }

    private fun share(now: Instant): Int {
        val known = status
        if (stop != null || known?.state == MoveState.ROLLED_BACK) return 0
        if (known?.state == MoveState.DONE) return MoveSchedule.FULL
        return if (now < schedule.start) 0 else known?.sharePermille ?: 0
    }

    /** Evaluates new evidence; returns true when this instance raised a stop. */
    private fun assess(now: Instant): Boolean {
        if (stop != null || assessedRevision == evidence.revision || status?.state == MoveState.DONE) return false
        assessedRevision = evidence.revision
        assessment = VersionComparison(evidence.totals).assess()
        if (!assessment.bad) return false
        stop = VersionStop(id, assessment.worst, now.toString(), self)
        return true
    }

    /** The record that a holder of [lease] should have stored. */
    private fun desired(
        now: Instant,
        lease: HeldLease,
    ): MoveStatus? {
        val known = status
        val stopped = stop
        if (stopped != null) return ended(MoveState.ROLLED_BACK, lease, now, listOf(stopped.reason))
        if (known == null) return if (now >= schedule.start) first(now, lease) else null
        if (known.state != MoveState.IN_PROGRESS) return known
        val step = schedule.shares.indexOfLast { it <= known.sharePermille }.coerceAtLeast(0)
        val since = Instant.parse(known.shareSince)
        if (known.sharePermille == MoveSchedule.FULL && schedule.mayFinish(since, now) && assessment.favourable) {
            return ended(MoveState.DONE, lease, now, known.reasons)
        }
        val grows = step + 1 < schedule.shares.size && schedule.mayEnter(step + 1, since, now) && mayGrow(step, now)
        val risks = risks(step, now)
        val next = if (!grows) known else known.copy(sharePermille = schedule.shares[step + 1], shareSince = now.toString())
        val judged = next.copy(atRisk = risks.isNotEmpty(), reasons = risks)
        return if (judged == known) known else judged.copy(fencing = lease.fencing, sequence = known.sequence + 1)
    }

    private fun first(
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

    private fun ended(
        state: MoveState,
        lease: HeldLease,
        now: Instant,
        reasons: List<String>,
    ): MoveStatus {
        val known = status
        if (known?.state == state) return known
        val share = if (state == MoveState.DONE) MoveSchedule.FULL else 0
        return MoveStatus(id, state, share, now.toString(), lease.fencing, (known?.sequence ?: 0) + 1, reasons = reasons)
    }

    private fun mayGrow(
        step: Int,
        now: Instant,
    ): Boolean {
        if (!assessment.favourable || silent()) return false
        return assessment.decidedGood || schedule.lastChance(step, now)
    }

    /** True when far fewer attempts of the new version ended than its share of traffic lets expect: they may be hanging. */
    private fun silent(): Boolean {
        val known = status ?: return false
        val share = known.sharePermille
        if (share >= MoveSchedule.FULL) return false
        val recent = evidence.requestsSince(Instant.parse(known.shareSince).plus(FIRST_RESPONSES))
        val expected = recent.first.toDouble() * share / (MoveSchedule.FULL - share)
        return expected >= MIN_EXPECTED && recent.second < expected / 4
    }

    private fun risks(
        step: Int,
        now: Instant,
    ): List<String> {
        val risks = mutableListOf<String>()
        if (!schedule.feasible(step, now)) risks.add("not enough time is left before ${move.dueAt}")
        if (!assessment.favourable) risks.add("undecided evidence against the new version: ${assessment.worst}")
        if (silent()) risks.add("few attempts of the new version end")
        return risks
    }

    private fun Instant.plusOrMin(period: Duration): Instant = if (this == Instant.MIN) this else plus(period)

    private companion object {
        val EVIDENCE_PERIOD: Duration = Duration.ofMillis(500)
        val FACT_PERIOD: Duration = Duration.ofSeconds(1)

        /** About 25 bytes a row in CBOR; a delta stays below the datagram limit of 1,200 bytes. */
        const val DELTA_ROWS = 36

        /** Time after a change of the share in which first responses are still on their way. */
        val FIRST_RESPONSES: Duration = Duration.ofSeconds(5)
        const val MIN_EXPECTED = 20.0
        val STOP_ORDER: Comparator<VersionStop> = compareBy({ it.raisedAt }, { it.raisedBy }, { it.reason })
    }
}
