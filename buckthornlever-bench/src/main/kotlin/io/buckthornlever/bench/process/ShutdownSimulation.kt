package io.buckthornlever.bench.process

import io.buckthornlever.api.request.RequestId
import io.buckthornlever.core.process.ShutdownCommand
import io.buckthornlever.core.process.ShutdownEvent
import io.buckthornlever.core.process.ShutdownPhase
import io.buckthornlever.core.process.ShutdownState
import io.buckthornlever.core.request.StateMachine
import java.util.SplittableRandom

/**
 * One entry instance that is ordered to stop while requests run and arrive, in simulated time. The load balancer sends
 * requests for a while after the instance is no longer ready; one in ten handovers and one in two messages to peers fail.
 */
internal class ShutdownSimulation(
    private val machine: StateMachine<ShutdownState, ShutdownEvent, ShutdownCommand>,
    seed: Long,
) {
    private val random = SplittableRandom(seed)
    private var state = ShutdownState()
    private var now = 0L
    private val endsAt = mutableMapOf<RequestId, Long>()
    private val timed = mutableListOf<Pair<Long, ShutdownEvent>>()
    private val arrivalMillis = ARRIVAL_MILLIS[random.nextInt(ARRIVAL_MILLIS.size)]
    private val noticeMillis = random.nextLong(6_000, 30_000)
    private val balancerLagMillis = random.nextLong(500, 2_500)
    private var readinessOffAt: Long? = null

    /** Requests accepted by the instance or sent to it by the load balancer. */
    var requests: Int = 0
        private set

    /** Requests that were cut or found the listener closed. */
    var cut: Int = 0
        private set
    var handedOver: Int = 0
        private set

    /** True when peers learned of the leave before the end. */
    var peersTold: Boolean = false
        private set
    var stoppedAt: Long = 0
        private set

    /** True when the process ended after its notice. */
    val late: Boolean get() = stoppedAt > ORDER_MILLIS + noticeMillis

    fun run() {
        while (now <= ORDER_MILLIS + noticeMillis + 1) {
            if (now == ORDER_MILLIS) feed(ShutdownEvent.ShutdownRequested((ORDER_MILLIS + noticeMillis) * MILLI))
            if (balancerSends() && random.nextInt(arrivalMillis) == 0) arrive()
            endsAt.filterValues { it <= now }.keys.toList().forEach(::end)
            timed.filter { it.first <= now }.forEach { due ->
                timed -= due
                complete(due.second)
            }
            if (now % TICK_MILLIS == 0L) feed(ShutdownEvent.Tick)
            now++
        }
    }

    // Without a change of readiness the load balancer notices a closed listener after the same time.
    private fun balancerSends(): Boolean {
        val off = readinessOffAt ?: stoppedAt.takeIf { state.phase == ShutdownPhase.STOPPED } ?: return true
        return now < off + balancerLagMillis
    }

    private fun arrive() {
        val id = RequestId("r${requests++}")
        if (state.phase == ShutdownPhase.STOPPED) {
            cut++
            return
        }
        val stream = random.nextInt(2) == 0
        endsAt[id] = now + if (stream) random.nextLong(1_000, 40_000) else random.nextLong(5, 2_000)
        feed(ShutdownEvent.RequestAdmitted(id, transferable = stream))
    }

    private fun end(id: RequestId) {
        endsAt -= id
        feed(ShutdownEvent.RequestEnded(id))
    }

    private fun complete(event: ShutdownEvent) {
        if (event is ShutdownEvent.RequestEnded) {
            if (event.request !in endsAt) return
            endsAt -= event.request
            handedOver++
        }
        if (event is ShutdownEvent.PeerConfirmed) peersTold = true
        feed(event)
    }

    private fun feed(event: ShutdownEvent) {
        val step = machine.step(state, event, now * MILLI)
        state = step.state
        step.commands.forEach(::carryOut)
    }

    private fun carryOut(command: ShutdownCommand) {
        when (command) {
            is ShutdownCommand.DisableReadiness -> readinessOffAt = now
            is ShutdownCommand.NotifyPeers -> if (random.nextBoolean()) timed += now + 2 to ShutdownEvent.PeerConfirmed
            is ShutdownCommand.HandOver -> timed += now + random.nextLong(5, 100) to handOver(command.request)
            is ShutdownCommand.Stop -> stop()
        }
    }

    private fun handOver(request: RequestId): ShutdownEvent =
        if (random.nextInt(10) == 0) ShutdownEvent.HandOverFailed(request) else ShutdownEvent.RequestEnded(request)

    private fun stop() {
        cut += endsAt.size
        endsAt.clear()
        stoppedAt = now
    }

    private companion object {
        const val ORDER_MILLIS = 3_000L

        // Quiet rounds matter too: an instance that is idle when ordered to stop still gets late arrivals.
        val ARRIVAL_MILLIS = listOf(20, 200, 1_000)
        const val TICK_MILLIS = 20L
        const val MILLI = 1_000_000L
    }
}
