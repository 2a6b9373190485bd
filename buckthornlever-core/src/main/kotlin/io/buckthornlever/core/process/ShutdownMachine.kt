package io.buckthornlever.core.process

import io.buckthornlever.core.request.StateMachine
import io.buckthornlever.core.request.Step

/** State machine that shuts down an entry instance within its notice period, without cutting requests where possible. */
public object ShutdownMachine : StateMachine<ShutdownState, ShutdownEvent, ShutdownCommand> {
    /** Time within which the load balancer sees that the instance is not ready, in nanoseconds; invariant 8 allows 3 s. */
    public const val DRAIN_NANOS: Long = 3_000_000_000

    /** Time before the deadline that is reserved for handovers, in nanoseconds. */
    public const val HANDOVER_RESERVE_NANOS: Long = 2_000_000_000

    /** Interval at which peers are notified again until one confirms, in nanoseconds. */
    public const val NOTIFY_INTERVAL_NANOS: Long = 500_000_000

    /** Handles [event] at [now], the monotonic time in nanoseconds. */
    override fun step(
        state: ShutdownState,
        event: ShutdownEvent,
        now: Long,
    ): Step<ShutdownState, ShutdownCommand> =
        when (event) {
            is ShutdownEvent.ShutdownRequested -> onShutdownRequested(state, event, now)
            is ShutdownEvent.RequestAdmitted -> advance(state.copy(running = state.running + (event.request to event.transferable)), now)
            is ShutdownEvent.TransferabilityChanged -> onTransferabilityChanged(state, event, now)
            is ShutdownEvent.RequestEnded -> onRequestEnded(state, event, now)
            is ShutdownEvent.HandOverFailed -> advance(state.copy(handingOver = state.handingOver - event.request), now)
            is ShutdownEvent.PeerConfirmed -> advance(state.copy(peerConfirmed = true), now)
            is ShutdownEvent.Tick -> advance(state, now)
        }

    private fun onShutdownRequested(
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
                peersNotifiedAtNanos = now,
            )
        val next = advance(draining, now)
        return Step(next.state, listOf(ShutdownCommand.DisableReadiness, ShutdownCommand.NotifyPeers) + next.commands)
    }

    private fun onTransferabilityChanged(
        state: ShutdownState,
        event: ShutdownEvent.TransferabilityChanged,
        now: Long,
    ): Step<ShutdownState, ShutdownCommand> {
        if (event.request !in state.running) return Step(state, emptyList())
        return advance(state.copy(running = state.running + (event.request to event.transferable)), now)
    }

    private fun onRequestEnded(
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
        val notify = !state.peerConfirmed && now - state.peersNotifiedAtNanos >= NOTIFY_INTERVAL_NANOS
        val notified = if (notify) state.copy(peersNotifiedAtNanos = now) else state
        val commands = if (notify) listOf<ShutdownCommand>(ShutdownCommand.NotifyPeers) else emptyList()
        val urgent = now >= state.deadlineNanos - HANDOVER_RESERVE_NANOS
        if (!urgent) return Step(notified, commands)
        val toHandOver = notified.running.filterValues { it }.keys - notified.handingOver
        val next = notified.copy(phase = ShutdownPhase.HANDING_OVER, handingOver = notified.handingOver + toHandOver)
        return Step(next, commands + toHandOver.sorted().map { ShutdownCommand.HandOver(it) })
    }

    private fun stop(state: ShutdownState): Step<ShutdownState, ShutdownCommand> =
        Step.of(state.copy(phase = ShutdownPhase.STOPPED), ShutdownCommand.Stop(state.running.keys))
}
