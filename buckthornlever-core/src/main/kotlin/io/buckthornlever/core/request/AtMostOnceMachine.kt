package io.buckthornlever.core.request

import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import java.time.Duration

/**
 * Runs a non-repeatable call at most once for each key.
 *
 * The call is sent only by the submission whose token is in the record, and only once. Every other submission answers
 * from the record. `not-run` refers to the submission that it answers: it was not sent and will not be sent.
 */
public object AtMostOnceMachine : StateMachine<AtMostOnceCall, AtMostOnceEvent, AtMostOnceCommand> {
    /** Time for which a record prevents another execution, in milliseconds. */
    public const val RECORD_TTL_MILLIS: Long = 86_400_000

    /** A submission older than this is not sent any more: after a long pause its record may have expired. */
    public const val MAX_HOLD_MILLIS: Long = 60_000

    /** A pending record older than this has lost its writer or its answer, in milliseconds. */
    public const val PENDING_LIMIT_MILLIS: Long = 300_000

    /** Failed store operations before a call is refused. */
    public const val MAX_TRIES: Int = 3

    /** Failed store operations before recording or releasing is given up; with [backoff] about two minutes of outage. */
    public const val MAX_BACKGROUND_TRIES: Int = 18

    /** Reads of a pending record of another submission before `in-progress` is answered. */
    public const val MAX_POLLS: Int = 6

    private const val FIRST_WAIT_MILLIS = 50L
    private const val MAX_WAIT_MILLIS = 10_000L
    private const val MAX_DOUBLINGS = 8

    /** Feeds [event] at the wall-clock time in milliseconds [now]. */
    override fun step(
        state: AtMostOnceCall,
        event: AtMostOnceEvent,
        now: Long,
    ): Step<AtMostOnceCall, AtMostOnceCommand> =
        when (state.phase) {
            AtMostOncePhase.CREATING, AtMostOncePhase.REPLACING -> writing(state, event, now)
            AtMostOncePhase.READING -> reading(state, event, now)
            AtMostOncePhase.WAITING -> if (event is AtMostOnceEvent.TimerFired) read(state) else ignore(state)
            AtMostOncePhase.DISPATCHED -> dispatched(state, event)
            AtMostOncePhase.RECORDING -> recording(state, event)
            AtMostOncePhase.RELEASING -> releasing(state, event)
            AtMostOncePhase.FINISHED -> ignore(state)
        }

    private fun writing(
        call: AtMostOnceCall,
        event: AtMostOnceEvent,
        nowMillis: Long,
    ): Step<AtMostOnceCall, AtMostOnceCommand> =
        when (event) {
            is AtMostOnceEvent.Begin -> create(call, nowMillis)
            is AtMostOnceEvent.Written -> dispatch(call.copy(version = event.version, maybeWritten = true), nowMillis)
            is AtMostOnceEvent.StoreFailed -> writeFailed(call, event.error)
            else -> ignore(call)
        }

    private fun create(
        call: AtMostOnceCall,
        nowMillis: Long,
    ): Step<AtMostOnceCall, AtMostOnceCommand> =
        Step.of(call.copy(phase = AtMostOncePhase.CREATING), AtMostOnceCommand.Create(call.key, pending(call, nowMillis)))

    private fun writeFailed(
        call: AtMostOnceCall,
        error: StoreError,
    ): Step<AtMostOnceCall, AtMostOnceCommand> =
        when (error) {
            is StoreError.Conflict -> read(call.copy(recordSeen = true))
            is StoreError.AnswerLost -> read(call.copy(maybeWritten = true))
            is StoreError.NotFound -> read(call)
            else -> storeUnavailable(call, retryAfter(error))
        }

    private fun dispatch(
        call: AtMostOnceCall,
        nowMillis: Long,
    ): Step<AtMostOnceCall, AtMostOnceCommand> {
        if (nowMillis - call.startedAtMillis > MAX_HOLD_MILLIS) {
            return release(call, notRun(ErrorCode.DEADLINE_EXCEEDED, "the record took too long to write"))
        }
        return Step.of(call.copy(phase = AtMostOncePhase.DISPATCHED, failures = 0), AtMostOnceCommand.Dispatch)
    }

    private fun reading(
        call: AtMostOnceCall,
        event: AtMostOnceEvent,
        nowMillis: Long,
    ): Step<AtMostOnceCall, AtMostOnceCommand> {
        if (event is AtMostOnceEvent.Read) return found(call.copy(recordSeen = true, failures = 0), event, nowMillis)
        if (event !is AtMostOnceEvent.StoreFailed) return ignore(call)
        if (event.error !is StoreError.NotFound) return readFailed(call, event.error)
        if (call.failures >= MAX_TRIES) return storeUnavailable(call.copy(recordSeen = false), null)
        return create(call.copy(failures = call.failures + 1, recordSeen = false), nowMillis)
    }

    private fun readFailed(
        call: AtMostOnceCall,
        error: StoreError,
    ): Step<AtMostOnceCall, AtMostOnceCommand> {
        val next = call.copy(failures = call.failures + 1)
        if (next.failures >= MAX_TRIES) return storeUnavailable(next, retryAfter(error))
        return wait(next, next.failures)
    }

    private fun found(
        call: AtMostOnceCall,
        event: AtMostOnceEvent.Read,
        nowMillis: Long,
    ): Step<AtMostOnceCall, AtMostOnceCommand> {
        val record = event.record
        val age = nowMillis - record.createdAtMillis
        return when {
            record.token == call.token -> dispatch(call.copy(version = event.version), nowMillis)
            age > RECORD_TTL_MILLIS -> replace(call, event, nowMillis)
            record.bodySha256 != call.bodySha256 -> conflict(call)
            record.state == AtMostOnceState.DONE -> replay(call, record)
            record.state == AtMostOnceState.UNKNOWN || age > PENDING_LIMIT_MILLIS -> unknown(call, "an earlier submission may have run")
            call.polls < MAX_POLLS -> wait(call.copy(polls = call.polls + 1), call.polls + 1)
            else -> refuse(call, ErrorCode.IN_PROGRESS, ExecutionStatus.UNKNOWN, "another submission of this key is running")
        }
    }

    private fun replace(
        call: AtMostOnceCall,
        event: AtMostOnceEvent.Read,
        nowMillis: Long,
    ): Step<AtMostOnceCall, AtMostOnceCommand> =
        Step.of(call.copy(phase = AtMostOncePhase.REPLACING), AtMostOnceCommand.Replace(call.key, pending(call, nowMillis), event.version))

    private fun conflict(call: AtMostOnceCall): Step<AtMostOnceCall, AtMostOnceCommand> =
        refuse(call, ErrorCode.KEY_CONFLICT, ExecutionStatus.NOT_RUN, "the key was used for another request")

    private fun replay(
        call: AtMostOnceCall,
        record: AtMostOnceRecord,
    ): Step<AtMostOnceCall, AtMostOnceCommand> {
        val outcome = record.outcome ?: return unknown(call, "the outcome was too large to be recorded")
        return end(call, AtMostOnceCommand.Reply(outcome, replayed = true))
    }

    private fun dispatched(
        call: AtMostOnceCall,
        event: AtMostOnceEvent,
    ): Step<AtMostOnceCall, AtMostOnceCommand> =
        when (event) {
            is AtMostOnceEvent.Answered -> record(call, AtMostOnceState.DONE, event.outcome, AtMostOnceCommand.Reply(event.outcome, replayed = false))
            is AtMostOnceEvent.Lost -> record(call, AtMostOnceState.UNKNOWN, null, AtMostOnceCommand.Refuse(unknownError(event.detail)))
            is AtMostOnceEvent.NotSent -> release(call, notRun(ErrorCode.NO_UPSTREAM, "no upstream could be reached"))
            else -> ignore(call)
        }

    private fun record(
        call: AtMostOnceCall,
        state: AtMostOnceState,
        outcome: AtMostOnceOutcome?,
        answer: AtMostOnceCommand,
    ): Step<AtMostOnceCall, AtMostOnceCommand> {
        val result = AtMostOnceRecord(call.token, call.bodySha256, call.startedAtMillis, state, outcome)
        val next = call.copy(phase = AtMostOncePhase.RECORDING, failures = 0, result = result)
        val version = call.version ?: return Step.of(next, answer, AtMostOnceCommand.Read(call.key))
        return Step.of(next, answer, AtMostOnceCommand.Replace(call.key, result, version))
    }

    private fun recording(
        call: AtMostOnceCall,
        event: AtMostOnceEvent,
    ): Step<AtMostOnceCall, AtMostOnceCommand> {
        val result = call.result ?: return end(call)
        return when (event) {
            is AtMostOnceEvent.Read -> {
                val open = event.record.token == call.token && event.record.state == AtMostOnceState.PENDING
                if (open) Step.of(call, AtMostOnceCommand.Replace(call.key, result, event.version)) else end(call)
            }

            is AtMostOnceEvent.StoreFailed -> recordFailed(call, result, event.error)

            is AtMostOnceEvent.TimerFired -> Step.of(call, AtMostOnceCommand.Read(call.key))

            else -> end(call)
        }
    }

    private fun recordFailed(
        call: AtMostOnceCall,
        result: AtMostOnceRecord,
        error: StoreError,
    ): Step<AtMostOnceCall, AtMostOnceCommand> {
        if (error is StoreError.NotFound) return end(call)
        if (error is StoreError.TooLarge) {
            val small = result.copy(outcome = result.outcome?.copy(bodyBase64 = null))
            return retryLater(call.copy(result = if (small == result) null else small))
        }
        return retryLater(call)
    }

    private fun release(
        call: AtMostOnceCall,
        error: RequestError,
    ): Step<AtMostOnceCall, AtMostOnceCommand> {
        val next = call.copy(phase = AtMostOncePhase.RELEASING, failures = 0)
        val version = call.version ?: return Step.of(next, AtMostOnceCommand.Refuse(error), AtMostOnceCommand.Read(call.key))
        return Step.of(next, AtMostOnceCommand.Refuse(error), AtMostOnceCommand.Delete(call.key, version))
    }

    private fun releasing(
        call: AtMostOnceCall,
        event: AtMostOnceEvent,
    ): Step<AtMostOnceCall, AtMostOnceCommand> =
        when {
            event is AtMostOnceEvent.Read && event.record.token == call.token -> Step.of(call, AtMostOnceCommand.Delete(call.key, event.version))
            event is AtMostOnceEvent.StoreFailed && event.error !is StoreError.NotFound -> retryLater(call)
            event is AtMostOnceEvent.TimerFired -> Step.of(call, AtMostOnceCommand.Read(call.key))
            else -> end(call)
        }

    private fun retryLater(call: AtMostOnceCall): Step<AtMostOnceCall, AtMostOnceCommand> {
        val next = call.copy(failures = call.failures + 1)
        if (next.failures > MAX_BACKGROUND_TRIES) return end(next)
        return Step.of(next, AtMostOnceCommand.StartTimer(backoff(next.failures)))
    }

    private fun storeUnavailable(
        call: AtMostOnceCall,
        retryAfter: Duration?,
    ): Step<AtMostOnceCall, AtMostOnceCommand> {
        // A record of another submission may belong to a call that ran, so its existence rules out "not run".
        val executed = if (call.recordSeen) ExecutionStatus.UNKNOWN else ExecutionStatus.NOT_RUN
        val error = RequestError(ErrorCode.STORE_UNAVAILABLE, executed, "the call cannot be recorded", retryAfter)
        return if (call.maybeWritten) release(call, error) else end(call, AtMostOnceCommand.Refuse(error))
    }

    private fun wait(
        call: AtMostOnceCall,
        count: Int,
    ): Step<AtMostOnceCall, AtMostOnceCommand> = Step.of(call.copy(phase = AtMostOncePhase.WAITING), AtMostOnceCommand.StartTimer(backoff(count)))

    private fun read(call: AtMostOnceCall): Step<AtMostOnceCall, AtMostOnceCommand> =
        Step.of(call.copy(phase = AtMostOncePhase.READING), AtMostOnceCommand.Read(call.key))

    private fun unknown(
        call: AtMostOnceCall,
        detail: String,
    ): Step<AtMostOnceCall, AtMostOnceCommand> = refuse(call, ErrorCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, detail)

    private fun refuse(
        call: AtMostOnceCall,
        code: ErrorCode,
        executed: ExecutionStatus,
        detail: String,
    ): Step<AtMostOnceCall, AtMostOnceCommand> = end(call, AtMostOnceCommand.Refuse(RequestError(code, executed, detail)))

    private fun end(
        call: AtMostOnceCall,
        vararg commands: AtMostOnceCommand,
    ): Step<AtMostOnceCall, AtMostOnceCommand> = Step(call.copy(phase = AtMostOncePhase.FINISHED), commands.toList())

    private fun ignore(call: AtMostOnceCall): Step<AtMostOnceCall, AtMostOnceCommand> = Step(call, emptyList())

    private fun notRun(
        code: ErrorCode,
        detail: String,
    ): RequestError = RequestError(code, ExecutionStatus.NOT_RUN, detail)

    private fun unknownError(detail: String): RequestError = RequestError(ErrorCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, detail)

    private fun pending(
        call: AtMostOnceCall,
        nowMillis: Long,
    ): AtMostOnceRecord = AtMostOnceRecord(call.token, call.bodySha256, nowMillis)

    private fun retryAfter(error: StoreError): Duration? = (error as? StoreError.RateLimited)?.retryAfter

    private fun backoff(count: Int): Long = minOf(MAX_WAIT_MILLIS, FIRST_WAIT_MILLIS shl minOf(count, MAX_DOUBLINGS))
}
