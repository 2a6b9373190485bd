package io.buckthornlever.gateway.process

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.VersionOrder
import io.buckthornlever.api.version.MoveState
import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.core.serving.UpstreamBalancer
import io.buckthornlever.core.version.HeldLease
import io.buckthornlever.core.version.MoveCommand
import io.buckthornlever.core.version.VersionOrders
import io.buckthornlever.core.version.VersionStop

/**
 * Runs the operators' version orders: sends this instance's evidence to the holder of the duty lease, and records the progress of the
 * moves with the orders while this instance holds it. A stop is passed on to all instances until it is recorded.
 *
 * @param lease the duty lease while this instance may act on it
 */
internal class VersionOrderRunner(
    private val self: String,
    private val clock: Clock,
    private val orders: VersionOrders,
    private val balancer: UpstreamBalancer,
    private val store: StateStore,
    private val peers: PeerExchange,
    private val lease: () -> HeldLease?,
    private val log: EventLog,
) {
    private var evidenceSentTo: String? = null
    private var loggedStatuses = emptyList<MoveStatus>()
    private var loggedStops = emptySet<VersionStop>()

    fun tick() {
        val commands = orders.tick(clock.now(), lease(), ::canCarryLoad)
        commands.forEach(::run)
        send(commands)
        logChanges()
    }

    fun onOrder(value: StateValue.Order) {
        if (!orders.onOrder(value.order, value.status)) return
        log.write(GatewayEvent.VERSION_ORDERED, "service" to value.order.service, "version" to value.order.target)
    }

    fun onMessage(message: PeerMessage.VersionEvidence) {
        message.evidence.forEach { orders.mergeEvidence(it, clock.now()) }
        message.stops.forEach(orders::mergeStop)
    }

    /** True if the ordered version has at least [MIN_CAPACITY_SHARE] of the capacity that the others have now. */
    private fun canCarryLoad(order: VersionOrder): Boolean {
        val slots = balancer.slotsByVersion(order.service)
        val own = slots[order.target] ?: 0
        return own > 0 && own >= MIN_CAPACITY_SHARE * (slots.values.sum() - own)
    }

    private fun run(command: MoveCommand) {
        when (command) {
            is MoveCommand.ReadStatus -> read(command.pool)
            is MoveCommand.WriteStatus -> write(command.status, command.expected)
            is MoveCommand.ReportEnd ->
                log.write(
                    GatewayEvent.VERSION_MOVE_ENDED,
                    "service" to command.status.move.pool,
                    "version" to command.status.move.to,
                    "state" to command.status.state,
                    "reasons" to command.status.reasons.joinToString(),
                )
            // [send] takes these together.
            is MoveCommand.SendEvidence, is MoveCommand.GossipStop, is MoveCommand.GossipStatus -> Unit
        }
    }

    private fun read(service: PoolName) {
        store.read(StateKind.VERSION_ORDERS, service.value) { result ->
            result.onSuccess { found ->
                orders.onStatusRead(service, (found.value as? StateValue.Order)?.status, ObjectVersion(found.revision))
            }
            // After a failure the move asks again by itself; an order that is gone is withdrawn by the feed.
            result.onFailure { logFailure(service, it) }
        }
    }

    private fun write(
        status: MoveStatus,
        expected: ObjectVersion?,
    ) {
        val service = status.move.pool
        val order = orders.orderFor(service) ?: return
        val revision = expected ?: return
        store.replaceStatus(order, revision.value, status) { result ->
            result.onSuccess { orders.onStatusWritten(status, ObjectVersion(it.revision)) }
            result.onFailure {
                logFailure(service, it)
                orders.onStatusWritten(status, null)
            }
        }
    }

    private fun send(commands: List<MoveCommand>) {
        val stops = commands.filterIsInstance<MoveCommand.GossipStop>().map { it.stop }.filter(::isUnrecorded)
        val holder = peers.leaseHolder()
        if (holder == null) {
            evidenceSentTo = null
            if (stops.isNotEmpty()) peers.broadcast(PeerMessage.VersionEvidence(self, emptyList(), stops))
            return
        }
        val isNewHolder = holder != evidenceSentTo
        evidenceSentTo = holder
        val evidence =
            if (isNewHolder) orders.fullEvidence() else commands.filterIsInstance<MoveCommand.SendEvidence>().map { it.delta }
        if (evidence.isNotEmpty() || stops.isNotEmpty()) peers.send(holder, PeerMessage.VersionEvidence(self, evidence, stops))
    }

    private fun isUnrecorded(stop: VersionStop): Boolean =
        orders.statuses.none { it.move == stop.move && it.state == MoveState.ROLLED_BACK }

    private fun logChanges() {
        val statuses = orders.statuses
        if (statuses != loggedStatuses) {
            (statuses - loggedStatuses.toSet()).forEach {
                log.write(
                    GatewayEvent.VERSION_SHARE_CHANGED,
                    "service" to it.move.pool,
                    "version" to it.move.to,
                    "permille" to it.sharePermille,
                    "state" to it.state,
                    "risks" to it.reasons.joinToString(),
                )
            }
            loggedStatuses = statuses
        }
        val stops = orders.stops.toSet()
        (stops - loggedStops).forEach {
            log.write(
                GatewayEvent.VERSION_STOPPED,
                "service" to it.move.pool,
                "version" to it.move.to,
                "by" to it.raisedBy,
                "reason" to it.reason,
            )
        }
        loggedStops = stops
    }

    private fun logFailure(
        service: PoolName,
        failure: StateFailure,
    ): Unit = log.write(GatewayEvent.VERSION_STATUS_NOT_RECORDED, "service" to service, "failure" to failure)

    private companion object {
        /** Services run with more capacity than they need most of the time, so some upstreams may still be missing. */
        const val MIN_CAPACITY_SHARE = 0.5
    }
}
