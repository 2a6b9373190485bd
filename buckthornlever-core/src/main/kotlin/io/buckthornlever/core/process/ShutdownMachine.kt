package io.buckthornlever.core.process

import io.buckthornlever.core.request.StateMachine
import io.buckthornlever.core.request.Step

/** Ends an entry instance within a notice without cutting a request. */
public object ShutdownMachine : StateMachine<ShutdownState, ShutdownEvent, ShutdownCommand> {
    /** Time in which the load balancer notices that the instance is not ready, in nanoseconds; invariant 8 allows 3 s. */
    public const val DRAIN_NANOS: Long = 3_000_000_000

    /** Time reserved for handovers before the deadline, in nanoseconds. */
    public const val HAND_OVER_NANOS: Long = 2_000_000_000

    /** Period in which peers are told again until one confirms, in nanoseconds. */
    public const val TELL_NANOS: Long = 500_000_000

    /** Feeds [event] at the monotonic time in nanoseconds [now]. */
    override fun step(
        state: ShutdownState,
        event: ShutdownEvent,
        now: Long,
    ): Step<ShutdownState, ShutdownCommand> =
        when (event) {
            is ShutdownEvent.ShutdownRequested -> ordered(state, event, now)
            is ShutdownEvent.RequestAdmitted -> advance(state.copy(running = state.running + (event.request to event.transferable)), now)
            is ShutdownEvent.Transferable -> transferable(state, event, now)
            is ShutdownEvent.RequestEnded -> ended(state, event, now)
            is ShutdownEvent.HandOverFailed -> advance(state.copy(handingOver = state.handingOver - event.request), now)
            is ShutdownEvent.PeerConfirmed -> advance(state.copy(peersTold = true), now)
            is ShutdownEvent.Tick -> advance(state, now)
        }

    private fun ordered(
        state: ShutdownState,
        event: ShutdownEvent.ShutdownRequested,
        now: Long,
    ): Step<ShutdownState, ShutdownCommand> {
        if (state.phase != ShutdownPhase.SERVING) {
            return advance(state.copy(deadlineNanos = minOf(state.deadlineNanos, event.deadlineNanos)), now)
        }
        val draining =
            state.copy(
                phase = ShutdownPhase.DRAINING,
                drainUntilNanos = minOf(now + DRAIN_NANOS, event.deadlineNanos),
                deadlineNanos = event.deadlineNanos,
                toldAtNanos = now,
            )
        val next = advance(draining, now)
        return Step(next.state, listOf(ShutdownCommand.DisableReadiness, ShutdownCommand.NotifyPeers) + next.commands)
    }

    private fun transferable(
        state: ShutdownState,
        event: ShutdownEvent.Transferable,
        now: Long,
    ): Step<ShutdownState, ShutdownCommand> {
        if (event.request !in state.running) return Step(state, emptyList())
        return advance(state.copy(running = state.running + (event.request to event.transferable)), now)
    }

    private fun ended(
        state: ShutdownState,
        event: ShutdownEvent.RequestEnded,
        now: Long,
    ): Step<ShutdownState, ShutdownCommand> =
        advance(state.copy(running = state.running - event.request, handingOver = state.handingOver - event.request), now)

    private fun advance(
        state: ShutdownState,
        now: Long,
    ): Step<ShutdownState, ShutdownCommand> {
        if (state.phase == ShutdownPhase.SERVING || state.phase == ShutdownPhase.STOPPED) return Step(state, emptyList())
        if (now >= state.deadlineNanos || (state.running.isEmpty() && now >= state.drainUntilNanos)) return stop(state)
        val tell = !state.peersTold && now - state.toldAtNanos >= TELL_NANOS
        val told = if (tell) state.copy(toldAtNanos = now) else state
        val commands = if (tell) listOf<ShutdownCommand>(ShutdownCommand.NotifyPeers) else emptyList()
        val urgent = now >= state.deadlineNanos - HAND_OVER_NANOS
        if (!urgent) return Step(told, commands)
        val moving = told.running.filterValues { it }.keys - told.handingOver
        val next = told.copy(phase = ShutdownPhase.HANDING_OVER, handingOver = told.handingOver + moving)
        return Step(next, commands + moving.sorted().map { ShutdownCommand.HandOver(it) })
    }

    private fun stop(state: ShutdownState): Step<ShutdownState, ShutdownCommand> =
        Step.of(state.copy(phase = ShutdownPhase.STOPPED), ShutdownCommand.Stop(state.running.keys))
}
