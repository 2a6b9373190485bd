package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError

/** Completes a stream despite failures of upstreams and connections, relaying each token once and in order. */
public object StreamMachine : StateMachine<StreamState, StreamEvent, StreamCommand> {
    /** Maximum attempts of one stream; those without an available upstream do not count. */
    public const val MAX_ATTEMPTS: Int = 12

    /** Delay before an attempt, in nanoseconds, from the fourth attempt on or if no candidate was available. */
    public const val BACKOFF_NANOS: Long = 100_000_000

    /** Time before the announced end of an upstream by which a migration must be complete, in nanoseconds. */
    public const val MIGRATION_MARGIN_NANOS: Long = 500_000_000

    private const val NANOS_PER_MILLI = 1_000_000L

    /** Processes [event]; [now] is the monotonic time in nanoseconds. */
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
            event is StreamEvent.KvExported -> kvExported(state, event, now)
            else -> handleAttemptEvent(state, event, now)
        }

    private fun handleAttemptEvent(
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
    ): Step<StreamState, StreamCommand> = Step(state.copy(upstream = event.upstream, idleSince = now), emptyList())

    private fun chunk(
        state: StreamState,
        event: StreamEvent.Chunk,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        val wrongId = event.chunkId != state.attemptId
        if (wrongId || event.index > state.tokens.size) return failAttempt(state, now, StreamCommand.Cancel(state.attemptId))
        val active = state.copy(phase = StreamPhase.STREAMING, idleSince = now)
        if (event.index < state.tokens.size) return ignore(active)
        val next = active.copy(tokens = state.tokens.add(event.text))
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
        val failed = if (upstream == null) state.failedUpstreams else state.failedUpstreams + upstream
        if (state.attempts >= MAX_ATTEMPTS) return end(state, failure("all attempts failed"))
        val next = open(state.copy(failedUpstreams = failed), now)
        return Step(next.state, commands.toList() + next.commands)
    }

    private fun waitForCandidate(
        state: StreamState,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        if (now >= state.limits.deadlineNanos) return end(state, deadline())
        // Upstreams that failed earlier may have been replaced or restarted while the stream waited.
        val next = state.copy(attempts = state.attempts - 1, failedUpstreams = emptySet(), silentUpstreams = emptySet())
        return open(next, now, delayNanos = BACKOFF_NANOS)
    }

    private fun tick(
        state: StreamState,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        val limits = state.limits
        val timeoutNanos = if (state.phase == StreamPhase.OPENING) limits.firstTokenTimeoutNanos else limits.progressTimeoutNanos
        val upstream = state.upstream
        val migrateAt = state.migrateAtNanos
        return when {
            now >= limits.deadlineNanos -> end(state, deadline(), StreamCommand.Cancel(state.attemptId))
            state.phase == StreamPhase.PROBING ->
                if (now - state.idleSince >= limits.probeTimeoutNanos) declareDead(state, now) else ignore(state)
            migrateAt != null && now >= migrateAt -> migrate(state, now)
            upstream == null || now - state.idleSince < timeoutNanos -> ignore(state)
            else -> Step.of(state.copy(phase = StreamPhase.PROBING, idleSince = now), StreamCommand.Probe(upstream))
        }
    }

    private fun probed(
        state: StreamState,
        event: StreamEvent.Probed,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        if (state.phase != StreamPhase.PROBING || event.upstream != state.upstream) return ignore(state)
        if (!event.alive) return declareDead(state, now)
        val cancel = StreamCommand.Cancel(state.attemptId)
        // The upstream holds the context, so it gets one more attempt on a new connection; if that is silent too, it is avoided.
        if (event.upstream in state.silentUpstreams) return failAttempt(state, now, cancel)
        if (state.attempts >= MAX_ATTEMPTS) return end(state, failure("all attempts failed"), cancel)
        val next = open(state.copy(silentUpstreams = state.silentUpstreams + event.upstream), now, prefer = event.upstream)
        return Step(next.state, listOf(cancel) + next.commands)
    }

    private fun declareDead(
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
        if (event.upstream != state.upstream) return Step(state.copy(failedUpstreams = state.failedUpstreams + event.upstream), emptyList())
        val contextTokens = state.promptTokens + state.tokens.size
        val noticeMillis = (event.endNanos - now) / NANOS_PER_MILLI
        val prefersTransfer = event.estimate.prefersTransfer(contextTokens, event.cachedTokens, noticeMillis)
        val transferNanos = if (prefersTransfer) event.estimate.transferMillis(contextTokens) * NANOS_PER_MILLI else 0L
        // The migration starts as late as possible because the stream may complete before.
        val migrateAt = event.endNanos - transferNanos - MIGRATION_MARGIN_NANOS
        return tick(state.copy(migrateAtNanos = migrateAt, migrateByTransfer = prefersTransfer), now)
    }

    private fun migrate(
        state: StreamState,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        val next = state.copy(migrateAtNanos = null, idleSince = now)
        if (state.migrateByTransfer) return Step.of(next, StreamCommand.ExportKv(state.attemptId))
        return failAttempt(next, now, StreamCommand.Cancel(state.attemptId))
    }

    private fun kvExported(
        state: StreamState,
        event: StreamEvent.KvExported,
        now: Long,
    ): Step<StreamState, StreamCommand> {
        if (!state.migrateByTransfer) return ignore(state)
        val departed = state.copy(failedUpstreams = state.failedUpstreams + setOfNotNull(state.upstream))
        val next = open(departed, now, kvHandle = event.handle)
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
                idleSince = now,
                migrateAtNanos = null,
                migrateByTransfer = false,
            )
        return Step.of(next, StreamCommand.Open(next.attemptId, next.tokens, kvHandle, prefer, next.failedUpstreams, delayNanos))
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
