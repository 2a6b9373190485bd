package io.buckthornlever.bench.request

import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.core.request.StateMachine
import io.buckthornlever.core.request.AtMostOnceCall
import io.buckthornlever.core.request.AtMostOnceCommand
import io.buckthornlever.core.request.AtMostOnceEvent
import io.buckthornlever.core.request.AtMostOncePhase
import io.buckthornlever.core.request.Step

/** Baseline without a record: sends at once, repeats up to three times and then reports that the call did not run. */
internal object NaiveOnce : StateMachine<AtMostOnceCall, AtMostOnceEvent, AtMostOnceCommand> {
    private const val MAX_TRIES = 3

    override fun step(
        state: AtMostOnceCall,
        event: AtMostOnceEvent,
        now: Long,
    ): Step<AtMostOnceCall, AtMostOnceCommand> =
        when {
            event is AtMostOnceEvent.Answered -> Step.of(state.copy(phase = AtMostOncePhase.FINISHED), AtMostOnceCommand.Reply(event.outcome, false))
            state.failures < MAX_TRIES -> Step.of(state.copy(phase = AtMostOncePhase.DISPATCHED, failures = state.failures + 1), AtMostOnceCommand.Dispatch)
            else -> Step.of(state.copy(phase = AtMostOncePhase.FINISHED), AtMostOnceCommand.Refuse(failure()))
        }

    private fun failure() = RequestError(ErrorCode.UPSTREAM_FAILED, ExecutionStatus.NOT_RUN, "all attempts failed")
}
