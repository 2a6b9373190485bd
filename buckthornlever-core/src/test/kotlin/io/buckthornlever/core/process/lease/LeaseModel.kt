package io.buckthornlever.core.process.lease

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.core.process.membership.Moment
import java.time.Duration

/**
 * Two instances, a store and the calls between them as an immutable value, so that every schedule can be tried from every state. The
 * clock of the second instance runs a quarter faster, which is nearly the clock error bound over one lifetime of the lease.
 */
internal data class LeaseModel(
    val seconds: Long = 0,
    val storeVersion: Long = 0,
    val stored: StoredLease? = null,
    val nodes: List<LeaseState> = List(2) { LeaseState(InstanceId("i$it"), 1) },
    val calls: List<Call> = emptyList(),
    val lastUnfencedOrder: List<Long> = List(2) { NEVER },
    val highestFencing: Long = 0,
    val highestHolder: Int = -1,
    val gained: Int = 0,
    val violation: String? = null,
) {
    data class Call(
        val node: Int,
        val command: LeaseCommand,
    )

    enum class Outcome { DELIVERED, ANSWER_LOST, NOT_EXECUTED }

    fun advance(paused: Set<Int>): LeaseModel {
        var model = copy(seconds = seconds + 1).recordViolations()
        nodes.indices.filter { it !in paused }.forEach { model = model.event(it, LeaseEvent.Tick) }
        return model.recordViolations()
    }

    fun complete(index: Int, outcome: Outcome): LeaseModel {
        val call = calls[index]
        val rest = copy(calls = calls.filterIndexed { at, _ -> at != index })
        return when (val command = call.command) {
            is LeaseCommand.Read -> if (outcome == Outcome.DELIVERED) {
                rest.event(call.node, LeaseEvent.ReadDone(ObjectVersion(storeVersion), stored))
            } else {
                rest.event(call.node, LeaseEvent.ReadFailed)
            }

            is LeaseCommand.Write -> rest.write(call.node, command, outcome)
            else -> rest
        }.recordViolations()
    }

    private fun write(node: Int, command: LeaseCommand.Write, outcome: Outcome): LeaseModel {
        val token = command.record.token
        if (outcome == Outcome.NOT_EXECUTED) return event(node, LeaseEvent.WriteFailed(token))
        val matches = stored?.version == command.expected
        val version = ObjectVersion(storeVersion + 1)
        val written = if (matches) copy(storeVersion = version.value, stored = StoredLease(version, command.record)) else this
        val delivered = matches && outcome == Outcome.DELIVERED
        return written.event(node, if (delivered) LeaseEvent.WriteDone(token, version) else LeaseEvent.WriteUncertain(token))
    }

    fun event(node: Int, event: LeaseEvent): LeaseModel {
        val result = MACHINE.step(nodes[node], event, now(node))
        val issued = result.commands.filter { it is LeaseCommand.Read || it is LeaseCommand.Write }.map { Call(node, it) }
        val gains = result.commands.count { it is LeaseCommand.Gained }
        return copy(nodes = nodes.toMutableList().also { it[node] = result.state }, calls = calls + issued, gained = gained + gains)
    }

    /** Delivers what instance [from] announces about the lease that it holds to the other one. */
    fun announce(from: Int): LeaseModel {
        val held = nodes[from].held ?: return this
        val to = 1 - from
        return event(to, LeaseEvent.HolderAnnounced(held.version, now(to).nanos + held.expiresAt - now(from).nanos)).recordViolations()
    }

    /** Assumes that every instance with a permit sends an order at each step and that each order takes the longest time allowed. */
    private fun recordViolations(): LeaseModel {
        if (violation != null) return this
        var model = this
        nodes.indices.forEach { node -> model = model.recordViolationsOf(node) }
        return model
    }

    private fun recordViolationsOf(node: Int): LeaseModel {
        val permit = MACHINE.permit(nodes[node], honoursFencing = true, now(node)) ?: return this
        var model = this
        val other = 1 - node
        if (MACHINE.permit(nodes[other], honoursFencing = true, now(other)) !=
            null
        ) {
            model = model.copy(violation = "both instances hold a permit at $seconds s")
        }
        if (permit.fencing < highestFencing || (permit.fencing == highestFencing && highestHolder != node)) {
            model = model.copy(violation = "fencing token ${permit.fencing} of i$node after $highestFencing")
        }
        model = model.copy(highestFencing = maxOf(permit.fencing, highestFencing), highestHolder = node)
        if (MACHINE.permit(nodes[node], honoursFencing = false, now(node)) == null) return model
        if (lastUnfencedOrder[other] != NEVER && lastUnfencedOrder[other] + MAX_ORDER_SECONDS > seconds) {
            model = model.copy(violation = "order of i$node at $seconds s overlaps one of i$other at ${lastUnfencedOrder[other]} s")
        }
        return model.copy(lastUnfencedOrder = lastUnfencedOrder.toMutableList().also { it[node] = seconds })
    }

    fun now(node: Int): Moment = Moment((seconds + if (node == 1) seconds / CLOCK_DRIFT_DIVISOR else 0) * 1_000_000_000L, 0)

    companion object {
        const val NEVER = -1L
        const val CLOCK_DRIFT_DIVISOR = 4
        const val MAX_ORDER_SECONDS = 8L
        val MACHINE = LeaseMachine(
            LeaseSettings(
                ttl = Duration.ofSeconds(6),
                renewInterval = Duration.ofSeconds(2),
                readInterval = Duration.ofSeconds(1),
                callTimeout = Duration.ofSeconds(2),
                clockErrorBound = Duration.ofSeconds(2),
                maxOrderDuration = Duration.ofSeconds(MAX_ORDER_SECONDS),
            ),
        )
    }
}
