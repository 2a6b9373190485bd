package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.core.process.RetryBudget

/** Decides on retries and hedges of one request within its route's [RetryBudget]. */
public object RetryMachine {
    /** Attempts per request, the first one and a hedge included. */
    public const val MAX_ATTEMPTS: Int = 3

    /** Delay before the second retry, in nanoseconds; the first one is immediate because it leaves the failed upstream. */
    public const val BACKOFF_NANOS: Long = 20_000_000

    /** Feeds [event]; returns the step and the route's budget after it. */
    public fun step(
        state: RetryState,
        event: RetryEvent,
        budget: RetryBudget,
        nowNanos: Long,
    ): Pair<Step<RetryState, RetryCommand>, RetryBudget> =
        when {
            state.finished -> Step(state, emptyList<RetryCommand>()) to budget
            event is RetryEvent.Started -> started(state, event) to budget
            event is RetryEvent.Answered -> answered(state, event) to budget
            event is RetryEvent.Failed -> failed(state, event, budget, nowNanos)
            event is RetryEvent.HedgeDue -> hedge(state, budget, nowNanos)
            else -> noCandidate(state) to budget
        }

    private fun started(
        state: RetryState,
        event: RetryEvent.Started,
    ): Step<RetryState, RetryCommand> =
        Step(state.copy(attempts = state.attempts + 1, running = state.running + event.upstream), emptyList())

    private fun answered(
        state: RetryState,
        event: RetryEvent.Answered,
    ): Step<RetryState, RetryCommand> =
        Step(
            state.copy(finished = true, running = emptySet(), maybeExecuted = true),
            (state.running - event.upstream).sorted().map { RetryCommand.Cancel(it) },
        )

    private fun failed(
        state: RetryState,
        event: RetryEvent.Failed,
        budget: RetryBudget,
        nowNanos: Long,
    ): Pair<Step<RetryState, RetryCommand>, RetryBudget> {
        val next =
            state.copy(
                running = state.running - event.upstream,
                failed = state.failed + event.upstream,
                failedDomains = state.failedDomains + event.domain,
                maybeExecuted = state.maybeExecuted || event.error !is UpstreamError.NotSent,
            )
        if (next.running.isNotEmpty()) return Step(next, emptyList<RetryCommand>()) to budget
        if (nowNanos >= next.deadlineNanos) return fail(next, ErrorCode.DEADLINE_EXCEEDED, "deadline passed") to budget
        if (!mayRepeat(next)) return fail(next, ErrorCode.OUTCOME_UNKNOWN, "the call may have run and must not be repeated") to budget
        if (next.attempts >= MAX_ATTEMPTS) return fail(next, ErrorCode.UPSTREAM_FAILED, "all attempts failed") to budget
        val paid = budget.withdraw(nowNanos) ?: return fail(next, ErrorCode.UPSTREAM_FAILED, "retry budget exhausted") to budget
        val delay = if (next.attempts <= 1) 0L else BACKOFF_NANOS
        return Step.of(next, dispatch(next, delay)) to paid
    }

    private fun hedge(
        state: RetryState,
        budget: RetryBudget,
        nowNanos: Long,
    ): Pair<Step<RetryState, RetryCommand>, RetryBudget> {
        val allowed = state.workClass == WorkClass.LOOKUP && !state.hedged && state.running.size == 1
        if (!allowed || state.attempts >= MAX_ATTEMPTS) return Step(state, emptyList<RetryCommand>()) to budget
        val paid = budget.withdraw(nowNanos) ?: return Step(state, emptyList<RetryCommand>()) to budget
        return Step.of(state.copy(hedged = true), dispatch(state, 0L)) to paid
    }

    private fun noCandidate(state: RetryState): Step<RetryState, RetryCommand> =
        if (state.running.isNotEmpty()) Step(state, emptyList()) else fail(state, ErrorCode.NO_UPSTREAM, "no upstream available")

    private fun dispatch(
        state: RetryState,
        delayNanos: Long,
    ): RetryCommand = RetryCommand.Dispatch(state.failed + state.running, state.failedDomains, delayNanos)

    private fun mayRepeat(state: RetryState): Boolean = state.workClass.idempotent || !state.maybeExecuted

    private fun fail(
        state: RetryState,
        code: ErrorCode,
        detail: String,
    ): Step<RetryState, RetryCommand> {
        val executed = if (state.maybeExecuted) ExecutionStatus.UNKNOWN else ExecutionStatus.NOT_RUN
        return Step.of(state.copy(finished = true), RetryCommand.Fail(RequestError(code, executed, detail)))
    }
}
