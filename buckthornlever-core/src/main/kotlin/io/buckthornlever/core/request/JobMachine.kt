package io.buckthornlever.core.request

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.core.process.RendezvousOrder

/**
 * Keeps the record of an accepted job equal to what its owner wants it to be, over lost responses and outages of the
 * store. A job is idempotent because of its seed, so its owner continues while the lease cannot be renewed; the
 * conditional update decides whose result is recorded.
 */
public object JobMachine : StateMachine<JobOwnership, JobEvent, JobCommand> {
    /** Validity of a lease after a write, in milliseconds. */
    public const val LEASE_MILLIS: Long = 10_000

    /** Period of lease renewal, in milliseconds; three renewals fit into a lease. */
    public const val RENEW_MILLIS: Long = 3_000

    /** Largest difference between the clocks of two instances, in milliseconds. */
    public const val CLOCK_ERROR_MILLIS: Long = 1_000

    private const val FIRST_WAIT_MILLIS = 50L
    private const val MAX_WAIT_MILLIS = 2_000L
    private const val MAX_DOUBLINGS = 6

    /** True when [self] must take over the job of [record] now. */
    public fun takesOver(
        record: JobRecord,
        self: InstanceId,
        members: Collection<InstanceId>,
        nowMillis: Long,
    ): Boolean {
        if (record.state != JobState.RUNNING || nowMillis <= record.leaseUntilMillis + CLOCK_ERROR_MILLIS) return false
        return RendezvousOrder.first(record.id.value, members) == self
    }

    /** The instance that continues the job of [record] when [self] leaves, or null when there is no other member. */
    public fun successor(
        record: JobRecord,
        self: InstanceId,
        members: Collection<InstanceId>,
    ): InstanceId? = RendezvousOrder.first(record.id.value, members - self)

    /** Ownership that takes over the job of [record], read at [version]. */
    public fun takeover(
        record: JobRecord,
        version: ObjectVersion,
        self: InstanceId,
    ): JobOwnership = JobOwnership(self, record.copy(owner = self, fencing = record.fencing + 1), version = version, fresh = false)

    /** Feeds [event] at the wall-clock time in milliseconds [now]. */
    override fun step(
        state: JobOwnership,
        event: JobEvent,
        now: Long,
    ): Step<JobOwnership, JobCommand> =
        when {
            state.phase == JobPhase.ENDED -> Step(state, emptyList())
            event is JobEvent.Begin -> write(state, now)
            event is JobEvent.Written -> settled(state.copy(version = event.version), now)
            event is JobEvent.Read -> read(state, event, now)
            event is JobEvent.StoreFailed -> failed(state, event.error, now)
            event is JobEvent.Woken -> if (state.maybeWritten) reread(state) else write(state, now)
            event is JobEvent.RenewDue -> renew(state, now)
            event is JobEvent.Finished -> finished(state, event, now)
            event is JobEvent.HandOver -> handOver(state, event, now)
            else -> Step(state, emptyList())
        }

    private fun change(
        job: JobOwnership,
        target: JobRecord,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        if (job.phase != JobPhase.OWNED) return Step(job, emptyList())
        val next = job.copy(target = target)
        return if (job.busy) Step(next, emptyList()) else write(next, nowMillis)
    }

    private fun renew(
        job: JobOwnership,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        if (job.target.state != JobState.RUNNING || job.target.owner != job.self) return Step(job, emptyList())
        return change(job, job.target.copy(leaseUntilMillis = nowMillis + LEASE_MILLIS), nowMillis)
    }

    private fun finished(
        job: JobOwnership,
        event: JobEvent.Finished,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        if (job.target.owner != job.self || job.target.state != JobState.RUNNING) return Step(job, emptyList())
        val state = if (event.status in SUCCESS) JobState.DONE else JobState.FAILED
        return change(job, job.target.copy(state = state, status = event.status, result = event.result), nowMillis)
    }

    private fun handOver(
        job: JobOwnership,
        event: JobEvent.HandOver,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        if (job.target.state != JobState.RUNNING || job.target.owner != job.self) return Step(job, emptyList())
        // The lease of the successor starts expired, so that it takes over with its next look at the record.
        val target = job.target.copy(owner = event.next, fencing = job.target.fencing + 1, leaseUntilMillis = 0)
        return change(job, target, nowMillis)
    }

    private fun write(
        job: JobOwnership,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        val active = job.target.state == JobState.RUNNING && job.target.owner == job.self
        val record = if (active) job.target.copy(leaseUntilMillis = nowMillis + LEASE_MILLIS) else job.target
        val next = job.copy(busy = true, writing = record, target = record)
        val version = job.version
        val command = if (job.fresh || version == null) JobCommand.Create(record) else JobCommand.Replace(record, version)
        return Step.of(next, command)
    }

    private fun settled(
        job: JobOwnership,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        val claimed = job.phase == JobPhase.CLAIMING
        val next = job.copy(phase = JobPhase.OWNED, busy = false, fresh = false, maybeWritten = false, tries = 0, writing = null)
        val run = if (claimed) listOf<JobCommand>(JobCommand.Run(job.target)) else emptyList()
        if (job.writing != job.target) return write(next, nowMillis).let { Step(it.state, run + it.commands) }
        val ended = next.copy(phase = JobPhase.ENDED)
        return when {
            job.target.owner != job.self -> Step.of(ended, JobCommand.HandedOver(job.target.owner))
            job.target.state == JobState.DONE || job.target.state == JobState.FAILED -> Step.of(ended, JobCommand.Stored)
            else -> Step(next, run)
        }
    }

    private fun read(
        job: JobOwnership,
        event: JobEvent.Read,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        val current = job.copy(version = event.version, fresh = false, maybeWritten = false)
        val written = job.writing
        if (written != null && event.record == written) return settled(current, nowMillis)
        val held = event.record.owner == job.self && event.record.fencing == job.fencing
        val own = held && (event.record.state == JobState.RUNNING || event.record.state == JobState.STREAM)
        val claimable = job.phase == JobPhase.CLAIMING && !job.fresh && event.record.fencing < job.fencing
        return if (own || claimable) write(current, nowMillis) else lost(job)
    }

    private fun failed(
        job: JobOwnership,
        error: StoreError,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> =
        when (error) {
            is StoreError.Conflict -> reread(job)
            is StoreError.AnswerLost -> reread(job.copy(maybeWritten = true))
            is StoreError.NotFound -> if (job.fresh) write(job.copy(tries = job.tries + 1), nowMillis) else lost(job)
            is StoreError.TooLarge -> tooLarge(job, nowMillis)
            else -> unavailable(job)
        }

    private fun unavailable(job: JobOwnership): Step<JobOwnership, JobCommand> {
        val refuses = job.fresh && job.phase == JobPhase.CLAIMING && job.target.state == JobState.RUNNING
        if (refuses && !job.maybeWritten) return refuse(job, ErrorCode.STORE_UNAVAILABLE, ExecutionStatus.NOT_RUN)
        if (refuses && job.tries >= MAX_CLAIM_TRIES) return refuse(job, ErrorCode.STORE_UNAVAILABLE, ExecutionStatus.UNKNOWN)
        val next = job.copy(tries = job.tries + 1, busy = true)
        val wait = minOf(MAX_WAIT_MILLIS, FIRST_WAIT_MILLIS shl minOf(job.tries, MAX_DOUBLINGS))
        return Step.of(next, JobCommand.WakeAfter(wait))
    }

    private fun tooLarge(
        job: JobOwnership,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        if (job.phase == JobPhase.CLAIMING) return refuse(job, ErrorCode.BODY_TOO_LARGE, ExecutionStatus.NOT_RUN)
        val target = job.target.copy(state = JobState.FAILED, status = ErrorCode.UPSTREAM_FAILED.status, result = "the result is too large")
        return write(job.copy(target = target), nowMillis)
    }

    private fun reread(job: JobOwnership): Step<JobOwnership, JobCommand> = Step.of(job.copy(busy = true), JobCommand.Read)

    private fun lost(job: JobOwnership): Step<JobOwnership, JobCommand> =
        Step.of(job.copy(phase = JobPhase.ENDED, busy = false), JobCommand.Abandon)

    private fun refuse(
        job: JobOwnership,
        code: ErrorCode,
        executed: ExecutionStatus,
    ): Step<JobOwnership, JobCommand> =
        Step.of(
            job.copy(phase = JobPhase.ENDED, busy = false),
            JobCommand.Refuse(RequestError(code, executed, "the job cannot be recorded")),
        )

    private const val MAX_CLAIM_TRIES = 3
    private val SUCCESS = 200..299
}
