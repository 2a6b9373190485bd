package io.buckthornlever.bench.request

import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.Executed
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.core.request.Machine
import io.buckthornlever.core.request.OnceCall
import io.buckthornlever.core.request.OnceCommand
import io.buckthornlever.core.request.OnceEvent
import io.buckthornlever.core.request.OncePhase
import io.buckthornlever.core.request.Step

/** Baseline without a record: sends at once, repeats up to three times and then reports that the call did not run. */
internal object NaiveOnce : Machine<OnceCall, OnceEvent, OnceCommand> {
    private const val MAX_TRIES = 3

    override fun step(
        state: OnceCall,
        event: OnceEvent,
        now: Long,
    ): Step<OnceCall, OnceCommand> =
        when {
            event is OnceEvent.Answered -> Step.of(state.copy(phase = OncePhase.FINISHED), OnceCommand.Reply(event.outcome, false))
            state.tries < MAX_TRIES -> Step.of(state.copy(phase = OncePhase.DISPATCHED, tries = state.tries + 1), OnceCommand.Dispatch)
            else -> Step.of(state.copy(phase = OncePhase.FINISHED), OnceCommand.Refuse(failure()))
        }

    private fun failure() = RequestError(ErrorCode.UPSTREAM_FAILED, Executed.NOT_RUN, "all attempts failed")
}
