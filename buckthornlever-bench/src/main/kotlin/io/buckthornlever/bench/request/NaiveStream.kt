package io.buckthornlever.bench.request

import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.core.request.StateMachine
import io.buckthornlever.core.request.Step
import io.buckthornlever.core.request.StreamCommand
import io.buckthornlever.core.request.StreamEvent
import io.buckthornlever.core.request.StreamPhase
import io.buckthornlever.core.request.StreamState
import kotlinx.collections.immutable.persistentListOf

/** Baseline that relays whatever arrives, ignores silence and notices, and restarts a broken stream from the beginning. */
internal object NaiveStream : StateMachine<StreamState, StreamEvent, StreamCommand> {
    private const val MAX_ATTEMPTS = 3

    override fun step(
        state: StreamState,
        event: StreamEvent,
        now: Long,
    ): Step<StreamState, StreamCommand> =
        when {
            state.ended -> Step(state, emptyList())
            event is StreamEvent.Begin -> open(state)
            event is StreamEvent.Opened -> Step(state.copy(upstream = event.upstream), emptyList())
            event is StreamEvent.Chunk -> Step.of(state, StreamCommand.Relay(event.index, event.text))
            event is StreamEvent.Finished -> Step.of(state.copy(phase = StreamPhase.COMPLETE), StreamCommand.Complete)
            event is StreamEvent.Broken || event is StreamEvent.NoCandidate -> retry(state)
            now >= state.limits.deadlineNanos -> fail(state)
            else -> Step(state, emptyList())
        }

    private fun retry(state: StreamState): Step<StreamState, StreamCommand> =
        if (state.attempts < MAX_ATTEMPTS) open(state) else fail(state)

    private fun open(state: StreamState): Step<StreamState, StreamCommand> {
        val next = state.copy(attempts = state.attempts + 1, tokens = persistentListOf())
        return Step.of(next, StreamCommand.Open(next.attemptId, emptyList(), null, null, emptySet(), 0))
    }

    private fun fail(state: StreamState): Step<StreamState, StreamCommand> =
        Step.of(
            state.copy(phase = StreamPhase.FAILED),
            StreamCommand.Fail(RequestError(ErrorCode.UPSTREAM_FAILED, ExecutionStatus.UNKNOWN, "all attempts failed")),
        )
}
