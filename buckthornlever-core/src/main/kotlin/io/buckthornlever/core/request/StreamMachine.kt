package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError

/** Completes a stream over failures of upstreams and connections, with every token relayed once and in order. */
public object StreamMachine : StateMachine<StreamState, StreamEvent, StreamCommand> {
    /** Attempts of one stream that end at an upstream; waiting for a candidate does not count. */
    public const val MAX_ATTEMPTS: Int = 12

    /** Delay before an attempt when several failed in a row or no candidate was available, in nanoseconds. */
    public const val BACKOFF_NANOS: Long = 100_000_000

    /** Time that a move must end before its upstream does, in nanoseconds. */
    public const val MOVE_MARGIN_NANOS: Long = 500_000_000

    private const val NANOS_PER_MILLI = 1_000_000L

    /** Feeds [event] at the monotonic time in nanoseconds [now]. */
    override fun step(
        state: StreamState,
        event: StreamEvent,
        now: Long,
    ): Step<StreamState, StreamCommand> =
        when {
            state.ended -> ignore(state)
            event is StreamEvent.Begin -> open(state, now)
            event is StreamEvent.Refused -> end(state, event.error)
            event is StreamEvent.Tick -> tick(state, now)
            event is StreamEvent.Probed -> probed(state, event, now)
            event is StreamEvent.Leaving -> leaving(state, event, now)
            event is StreamEvent.KvExported -> exported(state, event, now)
            else -> attemptEvent(state, event, now)
        }

    private fun attemptEvent(
        state: StreamState,
        event: StreamEvent,
        now: Long,
    ): Step<StreamState, StreamCommand> =
        when {
            event is StreamEvent.Opened && event.attempt == state.attemptId -> opened(state, event, now)
            event is StreamEvent.Chunk && event.attempt == state.attemptId -> chunk(state, event, now)
            event is StreamEvent.Finished && event.attempt == state.attemptId -> finished(state)
            event is StreamEvent.Broken && event.attempt == state.attemptId -> failAttempt(state, now)
            event is StreamEvent.NoCandidate && event.attempt == state.attemptId -> waitForCandidate(state, now)
            else -> ignore(state)
        }

    private fun opened(
        state: StreamState,
        event: StreamEvent.Opened,
        now: Long,
    ): Step<StreamState, StreamCommand> = Step(state.copy(upstream = event.upstream, since = now), emptyList())

    private fun chunk(
        state: StreamState,
        event: StreamEvent.Chunk,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        val wrongId = event.chunkId != state.attemptId
        if (wrongId || event.index > state.tokens.size) return failAttempt(state, now, StreamCommand.Cancel(state.attemptId))
        val live = state.copy(phase = StreamPhase.STREAMING, since = now)
        if (event.index < state.tokens.size) return ignore(live)
        val next = live.copy(tokens = state.tokens.add(event.text))
        if (event.index < state.relayIndex) return ignore(next)
        return Step.of(next.copy(relayIndex = event.index + 1), StreamCommand.Relay(event.index, event.text))
    }

    private fun finished(state: StreamState): Step<StreamState, StreamCommand> {
        if (state.tokens.size < state.relayIndex) return end(state, failure("the repeated response is shorter than the part already sent"))
        return Step.of(state.copy(phase = StreamPhase.COMPLETE), StreamCommand.Complete)
    }

    private fun failAttempt(
        state: StreamState,
        now: Long,
        vararg commands: StreamCommand,
    ): Step<StreamState, StreamCommand> {
        val upstream = state.upstream
        val failed = if (upstream == null) state.failed else state.failed + upstream
        if (state.attempts >= MAX_ATTEMPTS) return end(state, failure("all attempts failed"))
        val next = open(state.copy(failed = failed), now)
        return Step(next.state, commands.toList() + next.commands)
    }

    private fun waitForCandidate(
        state: StreamState,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        if (now >= state.limits.deadlineNanos) return end(state, deadline())
        // Upstreams that failed earlier may have been replaced or restarted while the stream waited.
        val next = state.copy(attempts = state.attempts - 1, failed = emptySet(), silent = emptySet())
        return open(next, now, delayNanos = BACKOFF_NANOS)
    }

    private fun tick(
        state: StreamState,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        val limits = state.limits
        val silence = if (state.phase == StreamPhase.OPENING) limits.firstTokenNanos else limits.progressNanos
        val upstream = state.upstream
        val moveAt = state.moveAtNanos
        return when {
            now >= limits.deadlineNanos -> end(state, deadline(), StreamCommand.Cancel(state.attemptId))
            state.phase == StreamPhase.PROBING -> if (now - state.since >= limits.probeNanos) judge(state, now) else ignore(state)
            moveAt != null && now >= moveAt -> move(state, now)
            upstream == null || now - state.since < silence -> ignore(state)
            else -> Step.of(state.copy(phase = StreamPhase.PROBING, since = now), StreamCommand.Probe(upstream))
        }
    }

    private fun probed(
        state: StreamState,
        event: StreamEvent.Probed,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        if (state.phase != StreamPhase.PROBING || event.upstream != state.upstream) return ignore(state)
        if (!event.alive) return judge(state, now)
        val cancel = StreamCommand.Cancel(state.attemptId)
        // The upstream holds the context, so it gets one attempt on a new connection; a second silence excludes it.
        if (event.upstream in state.silent) return failAttempt(state, now, cancel)
        if (state.attempts >= MAX_ATTEMPTS) return end(state, failure("all attempts failed"), cancel)
        val next = open(state.copy(silent = state.silent + event.upstream), now, prefer = event.upstream)
        return Step(next.state, listOf(cancel) + next.commands)
    }

    private fun judge(
        state: StreamState,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        val upstream = state.upstream ?: return ignore(state)
        return failAttempt(state, now, StreamCommand.Cancel(state.attemptId), StreamCommand.ReportDead(upstream))
    }

    private fun leaving(
        state: StreamState,
        event: StreamEvent.Leaving,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        if (event.upstream != state.upstream) return Step(state.copy(failed = state.failed + event.upstream), emptyList())
        val context = state.promptTokens + state.tokens.size
        val noticeMillis = (event.endNanos - now) / NANOS_PER_MILLI
        val transfer = event.estimate.prefersTransfer(context, event.cachedTokens, noticeMillis)
        val cost = if (transfer) event.estimate.transferMillis(context) * NANOS_PER_MILLI else 0L
        // The stream stays until the last moment because it may end by itself before that.
        val moveAt = event.endNanos - cost - MOVE_MARGIN_NANOS
        return tick(state.copy(moveAtNanos = moveAt, moveByTransfer = transfer), now)
    }

    private fun move(
        state: StreamState,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        val next = state.copy(moveAtNanos = null, since = now)
        if (state.moveByTransfer) return Step.of(next, StreamCommand.ExportKv(state.attemptId))
        return failAttempt(next, now, StreamCommand.Cancel(state.attemptId))
    }

    private fun exported(
        state: StreamState,
        event: StreamEvent.KvExported,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        if (!state.moveByTransfer) return ignore(state)
        val left = state.copy(failed = state.failed + setOfNotNull(state.upstream))
        val next = open(left, now, kvHandle = event.handle)
        return Step(next.state, listOf(StreamCommand.Cancel(state.attemptId)) + next.commands)
    }

    private fun open(
        state: StreamState,
        now: Long,
        prefer: UpstreamId? = null,
        kvHandle: String? = null,
        delayNanos: Long = if (state.attempts > 2) BACKOFF_NANOS else 0L,
    ): Step<StreamState, StreamCommand> {
        val next =
            state.copy(
                phase = StreamPhase.OPENING,
                attempts = state.attempts + 1,
                upstream = null,
                since = now,
                moveAtNanos = null,
                moveByTransfer = false,
            )
        return Step.of(next, StreamCommand.Open(next.attemptId, next.tokens, kvHandle, prefer, next.failed, delayNanos))
    }

    private fun end(
        state: StreamState,
        error: RequestError,
        vararg commands: StreamCommand,
    ): Step<StreamState, StreamCommand> =
        Step(state.copy(phase = StreamPhase.FAILED), commands.toList() + StreamCommand.Fail(error))

    private fun ignore(state: StreamState): Step<StreamState, StreamCommand> = Step(state, emptyList())

    private fun failure(detail: String): RequestError = RequestError(ErrorCode.UPSTREAM_FAILED, ExecutionStatus.UNKNOWN, detail)

    private fun deadline(): RequestError =
        RequestError(ErrorCode.DEADLINE_EXCEEDED, ExecutionStatus.UNKNOWN, "the stream did not end before its deadline")
}
