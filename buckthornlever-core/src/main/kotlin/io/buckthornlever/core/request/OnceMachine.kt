package io.buckthornlever.core.request

import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.Executed
import io.buckthornlever.api.request.RequestError
import java.time.Duration

/**
 * Runs a non-repeatable call at most once per idempotency key.
 *
 * The call is sent once, by the submission whose token is in the record. All other submissions are answered from the record.
 * The answer `not-run` is about the submission that it answers: that submission was not and will not be sent.
 */
public object OnceMachine : Machine<OnceCall, OnceEvent, OnceCommand> {
    /** Time for which a record prevents another execution, in milliseconds; an older record is replaced. */
    public const val RECORD_TTL_MILLIS: Long = 86_400_000

    /** Maximum age of a submission at dispatch, in milliseconds: after a longer pause its record may have expired. */
    public const val MAX_DISPATCH_AGE_MILLIS: Long = 60_000

    /** Maximum age of a pending record, in milliseconds; the writer of an older one has crashed or lost its answer. */
    public const val MAX_PENDING_AGE_MILLIS: Long = 300_000

    /** Number of failed store operations after which a call is refused. */
    public const val MAX_STORE_FAILURES: Int = 3

    /** Number of failures tolerated while recording or releasing; with [backoff] this covers an outage of about two minutes. */
    public const val MAX_BACKGROUND_FAILURES: Int = 18

    /** Number of reads of another submission's pending record before `in-progress` is answered. */
    public const val MAX_POLLS: Int = 6

    private const val INITIAL_BACKOFF_MILLIS = 50L
    private const val MAX_BACKOFF_MILLIS = 10_000L
    private const val MAX_DOUBLINGS = 8

    /** Processes [event]; [now] is the wall-clock time in milliseconds. */
    override fun step(
        state: OnceCall,
        event: OnceEvent,
        now: Long,
    ): Step<OnceCall, OnceCommand> =
        when (state.phase) {
            OncePhase.CREATING, OncePhase.REPLACING -> writing(state, event, now)
            OncePhase.READING -> reading(state, event, now)
            OncePhase.WAITING -> if (event is OnceEvent.Woken) read(state) else ignore(state)
            OncePhase.DISPATCHED -> dispatched(state, event)
            OncePhase.RECORDING -> recording(state, event)
            OncePhase.RELEASING -> releasing(state, event)
            OncePhase.FINISHED -> ignore(state)
        }

    private fun writing(
        call: OnceCall,
        event: OnceEvent,
        nowMillis: Long,
    ): Step<OnceCall, OnceCommand> =
        when (event) {
            is OnceEvent.Begin -> create(call, nowMillis)
            is OnceEvent.Written -> dispatch(call.copy(version = event.version, maybeWritten = true), nowMillis)
            is OnceEvent.StoreFailed -> writeFailed(call, event.error)
            else -> ignore(call)
        }

    private fun create(
        call: OnceCall,
        nowMillis: Long,
    ): Step<OnceCall, OnceCommand> =
        Step.of(call.copy(phase = OncePhase.CREATING), OnceCommand.Create(call.key, pending(call, nowMillis)))

    private fun writeFailed(
        call: OnceCall,
        error: StoreError,
    ): Step<OnceCall, OnceCommand> =
        when (error) {
            is StoreError.Conflict -> read(call.copy(recordSeen = true))
            is StoreError.AnswerLost -> read(call.copy(maybeWritten = true))
            is StoreError.NotFound -> read(call)
            else -> storeUnavailable(call, retryAfter(error))
        }

    private fun dispatch(
        call: OnceCall,
        nowMillis: Long,
    ): Step<OnceCall, OnceCommand> {
        if (nowMillis - call.startedAtMillis > MAX_DISPATCH_AGE_MILLIS) {
            return release(call, notRun(ErrorCode.DEADLINE_EXCEEDED, "the record took too long to write"))
        }
        return Step.of(call.copy(phase = OncePhase.DISPATCHED, tries = 0), OnceCommand.Dispatch)
    }

    private fun reading(
        call: OnceCall,
        event: OnceEvent,
        nowMillis: Long,
    ): Step<OnceCall, OnceCommand> {
        if (event is OnceEvent.Read) return recordFound(call.copy(recordSeen = true, tries = 0), event, nowMillis)
        if (event !is OnceEvent.StoreFailed) return ignore(call)
        if (event.error !is StoreError.NotFound) return readFailed(call, event.error)
        if (call.tries >= MAX_STORE_FAILURES) return storeUnavailable(call.copy(recordSeen = false), null)
        return create(call.copy(tries = call.tries + 1, recordSeen = false), nowMillis)
    }

    private fun readFailed(
        call: OnceCall,
        error: StoreError,
    ): Step<OnceCall, OnceCommand> {
        val next = call.copy(tries = call.tries + 1)
        if (next.tries >= MAX_STORE_FAILURES) return storeUnavailable(next, retryAfter(error))
        return wait(next, next.tries)
    }

    private fun recordFound(
        call: OnceCall,
        event: OnceEvent.Read,
        nowMillis: Long,
    ): Step<OnceCall, OnceCommand> {
        val record = event.record
        val age = nowMillis - record.createdAtMillis
        return when {
            record.token == call.token -> dispatch(call.copy(version = event.version), nowMillis)
            age > RECORD_TTL_MILLIS -> replace(call, event, nowMillis)
            record.bodySha256 != call.bodySha256 -> conflict(call)
            record.state == OnceState.DONE -> replay(call, record)
            record.state == OnceState.UNKNOWN || age > MAX_PENDING_AGE_MILLIS -> unknown(call, "an earlier submission may have run")
            call.polls < MAX_POLLS -> wait(call.copy(polls = call.polls + 1), call.polls + 1)
            else -> refuse(call, ErrorCode.IN_PROGRESS, Executed.UNKNOWN, "another submission of this key is running")
        }
    }

    private fun replace(
        call: OnceCall,
        event: OnceEvent.Read,
        nowMillis: Long,
    ): Step<OnceCall, OnceCommand> =
        Step.of(call.copy(phase = OncePhase.REPLACING), OnceCommand.Replace(call.key, pending(call, nowMillis), event.version))

    private fun conflict(call: OnceCall): Step<OnceCall, OnceCommand> =
        refuse(call, ErrorCode.KEY_CONFLICT, Executed.NOT_RUN, "the key was used for another request")

    private fun replay(
        call: OnceCall,
        record: OnceRecord,
    ): Step<OnceCall, OnceCommand> {
        val outcome = record.outcome ?: return unknown(call, "the outcome was too large to be recorded")
        return end(call, OnceCommand.Reply(outcome, replayed = true))
    }

    private fun dispatched(
        call: OnceCall,
        event: OnceEvent,
    ): Step<OnceCall, OnceCommand> =
        when (event) {
            is OnceEvent.Answered -> record(call, OnceState.DONE, event.outcome, OnceCommand.Reply(event.outcome, replayed = false))
            is OnceEvent.Lost -> record(call, OnceState.UNKNOWN, null, OnceCommand.Refuse(unknownError(event.detail)))
            is OnceEvent.NotSent -> release(call, notRun(ErrorCode.NO_UPSTREAM, "no upstream could be reached"))
            else -> ignore(call)
        }

    private fun record(
        call: OnceCall,
        state: OnceState,
        outcome: OnceOutcome?,
        answer: OnceCommand,
    ): Step<OnceCall, OnceCommand> {
        val result = OnceRecord(call.token, call.bodySha256, call.startedAtMillis, state, outcome)
        val next = call.copy(phase = OncePhase.RECORDING, tries = 0, result = result)
        val version = call.version ?: return Step.of(next, answer, OnceCommand.Read(call.key))
        return Step.of(next, answer, OnceCommand.Replace(call.key, result, version))
    }

    private fun recording(
        call: OnceCall,
        event: OnceEvent,
    ): Step<OnceCall, OnceCommand> {
        val result = call.result ?: return end(call)
        return when (event) {
            is OnceEvent.Read -> {
                val open = event.record.token == call.token && event.record.state == OnceState.PENDING
                if (open) Step.of(call, OnceCommand.Replace(call.key, result, event.version)) else end(call)
            }

            is OnceEvent.StoreFailed -> recordFailed(call, result, event.error)

            is OnceEvent.Woken -> Step.of(call, OnceCommand.Read(call.key))

            else -> end(call)
        }
    }

    private fun recordFailed(
        call: OnceCall,
        result: OnceRecord,
        error: StoreError,
    ): Step<OnceCall, OnceCommand> {
        if (error is StoreError.NotFound) return end(call)
        if (error is StoreError.TooLarge) {
            val withoutBody = result.copy(outcome = result.outcome?.copy(bodyBase64 = null))
            return retryLater(call.copy(result = if (withoutBody == result) null else withoutBody))
        }
        return retryLater(call)
    }

    private fun release(
        call: OnceCall,
        error: RequestError,
    ): Step<OnceCall, OnceCommand> {
        val next = call.copy(phase = OncePhase.RELEASING, tries = 0)
        val version = call.version ?: return Step.of(next, OnceCommand.Refuse(error), OnceCommand.Read(call.key))
        return Step.of(next, OnceCommand.Refuse(error), OnceCommand.Delete(call.key, version))
    }

    private fun releasing(
        call: OnceCall,
        event: OnceEvent,
    ): Step<OnceCall, OnceCommand> =
        when {
            event is OnceEvent.Read && event.record.token == call.token -> Step.of(call, OnceCommand.Delete(call.key, event.version))
            event is OnceEvent.StoreFailed && event.error !is StoreError.NotFound -> retryLater(call)
            event is OnceEvent.Woken -> Step.of(call, OnceCommand.Read(call.key))
            else -> end(call)
        }

    private fun retryLater(call: OnceCall): Step<OnceCall, OnceCommand> {
        val next = call.copy(tries = call.tries + 1)
        if (next.tries > MAX_BACKGROUND_FAILURES) return end(next)
        return Step.of(next, OnceCommand.WakeAfter(backoff(next.tries)))
    }

    private fun storeUnavailable(
        call: OnceCall,
        retryAfter: Duration?,
    ): Step<OnceCall, OnceCommand> {
        // The call of another submission's record may have run, so "not run" must not be claimed while a record exists.
        val executed = if (call.recordSeen) Executed.UNKNOWN else Executed.NOT_RUN
        val error = RequestError(ErrorCode.STORE_UNAVAILABLE, executed, "the call cannot be recorded", retryAfter)
        return if (call.maybeWritten) release(call, error) else end(call, OnceCommand.Refuse(error))
    }

    private fun wait(
        call: OnceCall,
        count: Int,
    ): Step<OnceCall, OnceCommand> = Step.of(call.copy(phase = OncePhase.WAITING), OnceCommand.WakeAfter(backoff(count)))

    private fun read(call: OnceCall): Step<OnceCall, OnceCommand> =
        Step.of(call.copy(phase = OncePhase.READING), OnceCommand.Read(call.key))

    private fun unknown(
        call: OnceCall,
        detail: String,
    ): Step<OnceCall, OnceCommand> = refuse(call, ErrorCode.OUTCOME_UNKNOWN, Executed.UNKNOWN, detail)

    private fun refuse(
        call: OnceCall,
        code: ErrorCode,
        executed: Executed,
        detail: String,
    ): Step<OnceCall, OnceCommand> = end(call, OnceCommand.Refuse(RequestError(code, executed, detail)))

    private fun end(
        call: OnceCall,
        vararg commands: OnceCommand,
    ): Step<OnceCall, OnceCommand> = Step(call.copy(phase = OncePhase.FINISHED), commands.toList())

    private fun ignore(call: OnceCall): Step<OnceCall, OnceCommand> = Step(call, emptyList())

    private fun notRun(
        code: ErrorCode,
        detail: String,
    ): RequestError = RequestError(code, Executed.NOT_RUN, detail)

    private fun unknownError(detail: String): RequestError = RequestError(ErrorCode.OUTCOME_UNKNOWN, Executed.UNKNOWN, detail)

    private fun pending(
        call: OnceCall,
        nowMillis: Long,
    ): OnceRecord = OnceRecord(call.token, call.bodySha256, nowMillis)

    private fun retryAfter(error: StoreError): Duration? = (error as? StoreError.RateLimited)?.retryAfter

    private fun backoff(count: Int): Long = minOf(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS shl minOf(count, MAX_DOUBLINGS))
}
