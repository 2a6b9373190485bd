package io.buckthornlever.bench.process

import io.buckthornlever.core.process.ShutdownCommand
import io.buckthornlever.core.process.ShutdownEvent
import io.buckthornlever.core.process.ShutdownPhase
import io.buckthornlever.core.process.ShutdownState
import io.buckthornlever.core.request.StateMachine
import io.buckthornlever.core.request.Step

/** Baseline that stops as soon as it is ordered to. */
internal object NaiveShutdown : StateMachine<ShutdownState, ShutdownEvent, ShutdownCommand> {
    override fun step(
        state: ShutdownState,
        event: ShutdownEvent,
        now: Long,
    ): Step<ShutdownState, ShutdownCommand> =
        when (event) {
            is ShutdownEvent.RequestAdmitted -> Step(state.copy(running = state.running + (event.request to event.transferable)), emptyList())
            is ShutdownEvent.RequestEnded -> Step(state.copy(running = state.running - event.request), emptyList())
            is ShutdownEvent.ShutdownRequested -> Step.of(state.copy(phase = ShutdownPhase.STOPPED), ShutdownCommand.Stop(state.running.keys))
            else -> Step(state, emptyList())
        }
}
