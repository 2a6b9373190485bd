package io.buckthornlever.core.process

import io.buckthornlever.api.request.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class ShutdownMachineTest {
    private val stream = RequestId("stream")
    private val call = RequestId("call")
    private val seconds = 1_000_000_000L

    private fun run(vararg events: Pair<Long, ShutdownEvent>): List<Pair<Long, ShutdownCommand>> {
        var state = ShutdownState()
        return events.flatMap { (at, event) ->
            val step = ShutdownMachine.step(state, event, at * seconds)
            state = step.state
            step.commands.map { at to it }
        }
    }

    // Guards against an immediate stop that cuts requests in progress and late arrivals.
    @Test
    fun `requests end before the process stops`() {
        val commands =
            run(
                0L to ShutdownEvent.RequestAdmitted(call, transferable = false),
                1L to ShutdownEvent.ShutdownRequested(30 * seconds),
                1L to ShutdownEvent.PeerConfirmed,
                2L to ShutdownEvent.RequestEnded(call),
                3L to ShutdownEvent.RequestAdmitted(stream, transferable = true),
                5L to ShutdownEvent.Tick,
                9L to ShutdownEvent.RequestEnded(stream),
            )
        assertEquals(
            listOf(1L to ShutdownCommand.DisableReadiness, 1L to ShutdownCommand.NotifyPeers, 9L to ShutdownCommand.Stop(emptySet())),
            commands,
        )
    }

    // Guards against a stream that is cut at the end of the notice, and against a handover that is not repeated.
    @Test
    fun `streams are handed over before the deadline and a failed handover is repeated`() {
        val commands =
            run(
                0L to ShutdownEvent.RequestAdmitted(stream, transferable = true),
                0L to ShutdownEvent.ShutdownRequested(10 * seconds),
                0L to ShutdownEvent.PeerConfirmed,
                8L to ShutdownEvent.Tick,
                8L to ShutdownEvent.HandOverFailed(stream),
                9L to ShutdownEvent.RequestEnded(stream),
            )
        val handOver = ShutdownCommand.HandOver(stream)
        assertEquals(listOf(8L to handOver, 8L to handOver, 9L to ShutdownCommand.Stop(emptySet())), commands.drop(2))
    }

    // Guards against peers that never learn of the leave because one datagram was lost.
    @Test
    fun `peers are told until one confirms, and what was cut is reported`() {
        val commands =
            run(
                0L to ShutdownEvent.RequestAdmitted(call, transferable = false),
                0L to ShutdownEvent.ShutdownRequested(4 * seconds),
                1L to ShutdownEvent.Tick,
                2L to ShutdownEvent.PeerConfirmed,
                3L to ShutdownEvent.Tick,
                4L to ShutdownEvent.Tick,
            )
        assertEquals(2, commands.count { it.second == ShutdownCommand.NotifyPeers })
        assertTrue(4L to ShutdownCommand.Stop(setOf(call)) in commands)
    }
}
