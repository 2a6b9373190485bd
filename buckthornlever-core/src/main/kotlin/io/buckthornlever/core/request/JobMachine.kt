package io.buckthornlever.core.request

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.core.process.RendezvousOrder

/**
 * Brings the stored record of an accepted job to the state desired by its owner, despite lost responses and outages of the
 * store. A job is idempotent because its seed is fixed, so its owner continues while the lease cannot be renewed. If two
 * instances run the job, the conditional update decides whose result is recorded.
 */
public object JobMachine : StateMachine<JobOwnership, JobEvent, JobCommand> {
    /** Time for which a lease is valid after a write, in milliseconds. */
    public const val LEASE_DURATION_MILLIS: Long = 10_000

    /** Period of lease renewal, in milliseconds; a lease covers three periods. */
    public const val RENEWAL_PERIOD_MILLIS: Long = 3_000

    /** Maximum clock difference between two instances, in milliseconds. */
    public const val MAX_CLOCK_SKEW_MILLIS: Long = 1_000

    private const val INITIAL_BACKOFF_MILLIS = 50L
    private const val MAX_BACKOFF_MILLIS = 2_000L
    private const val MAX_DOUBLINGS = 6

    /**
     * True if [self] must take over the running job of [record]: the lease expired more than [MAX_CLOCK_SKEW_MILLIS] ago, and
     * [self] is first in the rendezvous order of [members].
     */
    public fun shouldTakeOver(
        record: JobRecord,
        self: InstanceId,
        members: Collection<InstanceId>,
        nowMillis: Long,
    ): Boolean {
        if (record.state != JobState.RUNNING || nowMillis <= record.leaseUntilMillis + MAX_CLOCK_SKEW_MILLIS) return false
        return RendezvousOrder.first(record.id.value, members) == self
    }

    /** The instance that continues the job of [record] when [self] leaves, or null if there is no other member. */
    public fun successor(
        record: JobRecord,
        self: InstanceId,
        members: Collection<InstanceId>,
    ): InstanceId? = RendezvousOrder.first(record.id.value, members - self)

    /** The ownership with which [self] takes over the job of [record], read at [version]. */
    public fun takeOver(
        record: JobRecord,
        version: ObjectVersion,
        self: InstanceId,
    ): JobOwnership = JobOwnership(self, record.copy(owner = self, fencing = record.fencing + 1), version = version, mustCreate = false)

    /** Processes [event]; [now] is the wall-clock time in milliseconds. */
    override fun step(
        state: JobOwnership,
        event: JobEvent,
        now: Long,
    ): Step<JobOwnership, JobCommand> =
        when {
            state.phase == JobPhase.ENDED -> Step(state, emptyList())
            event is JobEvent.Begin -> write(state, now)
            event is JobEvent.Written -> writeConfirmed(state.copy(version = event.version), now)
            event is JobEvent.Read -> recordRead(state, event, now)
            event is JobEvent.StoreFailed -> storeFailed(state, event.error, now)
            event is JobEvent.TimerFired -> if (state.maybeWritten) reread(state) else write(state, now)
            event is JobEvent.RenewalDue -> renew(state, now)
            event is JobEvent.Finished -> finished(state, event, now)
            event is JobEvent.HandOver -> handOver(state, event, now)
            else -> Step(state, emptyList())
        }

    private fun updateDesired(
        job: JobOwnership,
        target: JobRecord,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        if (job.phase != JobPhase.OWNED) return Step(job, emptyList())
        val next = job.copy(desired = target)
        return if (job.operationOutstanding) Step(next, emptyList()) else write(next, nowMillis)
    }

    private fun renew(
        job: JobOwnership,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        if (job.desired.state != JobState.RUNNING || job.desired.owner != job.self) return Step(job, emptyList())
        return updateDesired(job, job.desired.copy(leaseUntilMillis = nowMillis + LEASE_DURATION_MILLIS), nowMillis)
    }

    private fun finished(
        job: JobOwnership,
        event: JobEvent.Finished,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        if (job.desired.owner != job.self || job.desired.state != JobState.RUNNING) return Step(job, emptyList())
        val state = if (event.status in SUCCESS_STATUSES) JobState.DONE else JobState.FAILED
        return updateDesired(job, job.desired.copy(state = state, status = event.status, result = event.result), nowMillis)
    }

    private fun handOver(
        job: JobOwnership,
        event: JobEvent.HandOver,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        if (job.desired.state != JobState.RUNNING || job.desired.owner != job.self) return Step(job, emptyList())
        // The lease handed over is already expired, so that the successor takes over the next time it reads the record.
        val target = job.desired.copy(owner = event.next, fencing = job.desired.fencing + 1, leaseUntilMillis = 0)
        return updateDesired(job, target, nowMillis)
    }

    private fun write(
        job: JobOwnership,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        val active = job.desired.state == JobState.RUNNING && job.desired.owner == job.self
        val record = if (active) job.desired.copy(leaseUntilMillis = nowMillis + LEASE_DURATION_MILLIS) else job.desired
        val next = job.copy(operationOutstanding = true, outstandingWrite = record, desired = record)
        val version = job.version
        val command = if (job.mustCreate || version == null) JobCommand.Create(record) else JobCommand.Replace(record, version)
        return Step.of(next, command)
    }

    private fun writeConfirmed(
        job: JobOwnership,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        val claimed = job.phase == JobPhase.CLAIMING
        val next = job.copy(
            phase = JobPhase.OWNED,
            operationOutstanding = false,
            mustCreate = false,
            maybeWritten = false,
            failures = 0,
            outstandingWrite = null,
        )
        val run = if (claimed) listOf<JobCommand>(JobCommand.Run(job.desired)) else emptyList()
        if (job.outstandingWrite != job.desired) return write(next, nowMillis).let { Step(it.state, run + it.commands) }
        val ended = next.copy(phase = JobPhase.ENDED)
        return when {
            job.desired.owner != job.self -> Step.of(ended, JobCommand.HandedOver(job.desired.owner))
            job.desired.state == JobState.DONE || job.desired.state == JobState.FAILED -> Step.of(ended, JobCommand.ResultStored)
            else -> Step(next, run)
        }
    }

    private fun recordRead(
        job: JobOwnership,
        event: JobEvent.Read,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        val current = job.copy(version = event.version, mustCreate = false, maybeWritten = false)
        val attempted = job.outstandingWrite
        if (attempted != null && event.record == attempted) return writeConfirmed(current, nowMillis)
        val ownsStored = event.record.owner == job.self && event.record.fencing == job.fencing
        val mayRewrite = ownsStored && (event.record.state == JobState.RUNNING || event.record.state == JobState.STREAM)
        val claimable = job.phase == JobPhase.CLAIMING && !job.mustCreate && event.record.fencing < job.fencing
        return if (mayRewrite || claimable) write(current, nowMillis) else abandon(job)
    }

    private fun storeFailed(
        job: JobOwnership,
        error: StoreError,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> =
        when (error) {
            is StoreError.Conflict -> reread(job)
            is StoreError.AnswerLost -> reread(job.copy(maybeWritten = true))
            is StoreError.NotFound -> if (job.mustCreate) write(job.copy(failures = job.failures + 1), nowMillis) else abandon(job)
            is StoreError.TooLarge -> tooLarge(job, nowMillis)
            else -> storeUnavailable(job)
        }

    private fun storeUnavailable(job: JobOwnership): Step<JobOwnership, JobCommand> {
        val mayRefuse = job.mustCreate && job.phase == JobPhase.CLAIMING && job.desired.state == JobState.RUNNING
        if (mayRefuse && !job.maybeWritten) return refuse(job, ErrorCode.STORE_UNAVAILABLE, ExecutionStatus.NOT_RUN)
        if (mayRefuse && job.failures >= MAX_CLAIM_FAILURES) return refuse(job, ErrorCode.STORE_UNAVAILABLE, ExecutionStatus.UNKNOWN)
        val next = job.copy(failures = job.failures + 1, operationOutstanding = true)
        val backoffMillis = minOf(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS shl minOf(job.failures, MAX_DOUBLINGS))
        return Step.of(next, JobCommand.StartTimer(backoffMillis))
    }

    private fun tooLarge(
        job: JobOwnership,
        nowMillis: Long,
    ): Step<JobOwnership, JobCommand> {
        if (job.phase == JobPhase.CLAIMING) return refuse(job, ErrorCode.BODY_TOO_LARGE, ExecutionStatus.NOT_RUN)
        val target = job.desired.copy(
            state = JobState.FAILED,
            status = ErrorCode.UPSTREAM_FAILED.status,
            result = "the result is too large",
        )
        return write(job.copy(desired = target), nowMillis)
    }

    private fun reread(job: JobOwnership): Step<JobOwnership, JobCommand> = Step.of(job.copy(operationOutstanding = true), JobCommand.Read)

    private fun abandon(job: JobOwnership): Step<JobOwnership, JobCommand> =
        Step.of(job.copy(phase = JobPhase.ENDED, operationOutstanding = false), JobCommand.Abandon)

    private fun refuse(
        job: JobOwnership,
        code: ErrorCode,
        executed: ExecutionStatus,
    ): Step<JobOwnership, JobCommand> =
        Step.of(
            job.copy(phase = JobPhase.ENDED, operationOutstanding = false),
            JobCommand.Refuse(RequestError(code, executed, "the job cannot be recorded")),
        )

    private const val MAX_CLAIM_FAILURES = 3
    private val SUCCESS_STATUSES = 200..299
}
