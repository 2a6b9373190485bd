package io.buckthornlever.core.process.lease

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.core.process.membership.Moment
import java.time.Duration

/**
 * Two instances, a store and the calls between them as a value, so that every schedule can be tried from every state. The clock of
 * the second instance runs a quarter faster, which is nearly the clock error bound over one lifetime of the lease.
 */
internal data class LeaseWorld(
    val second: Long = 0,
    val storeVersion: Long = 0,
    val stored: StoredLease? = null,
    val nodes: List<LeaseState> = List(2) { LeaseState(InstanceId("i$it"), 1) },
    val calls: List<Call> = emptyList(),
    val lastUnfenced: List<Long> = List(2) { NEVER },
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

    fun advance(paused: Set<Int>): LeaseWorld {
        var world = copy(second = second + 1).check()
        nodes.indices.filter { it !in paused }.forEach { world = world.event(it, LeaseEvent.Tick) }
        return world.check()
    }

    fun complete(index: Int, outcome: Outcome): LeaseWorld {
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
        }.check()
    }

    private fun write(node: Int, command: LeaseCommand.Write, outcome: Outcome): LeaseWorld {
        val token = command.record.token
        if (outcome == Outcome.NOT_EXECUTED) return event(node, LeaseEvent.WriteFailed(token))
        val matches = stored?.version == command.expected
        val version = ObjectVersion(storeVersion + 1)
        val written = if (matches) copy(storeVersion = version.value, stored = StoredLease(version, command.record)) else this
        val delivered = matches && outcome == Outcome.DELIVERED
        return written.event(node, if (delivered) LeaseEvent.WriteDone(token, version) else LeaseEvent.WriteUncertain(token))
    }

    fun event(node: Int, event: LeaseEvent): LeaseWorld {
        val result = MACHINE.step(nodes[node], event, now(node))
        val issued = result.commands.filter { it is LeaseCommand.Read || it is LeaseCommand.Write }.map { Call(node, it) }
        val gains = result.commands.count { it is LeaseCommand.Gained }
        return copy(nodes = nodes.toMutableList().also { it[node] = result.state }, calls = calls + issued, gained = gained + gains)
    }

    /** Every instance that may order does so at every moment, and each order lasts as long as allowed. */
    private fun check(): LeaseWorld {
        if (violation != null) return this
        var world = this
        nodes.indices.forEach { node -> world = world.checkNode(node) }
        return world
    }

    private fun checkNode(node: Int): LeaseWorld {
        val permit = MACHINE.permit(nodes[node], honoursFencing = true, now(node)) ?: return this
        var world = this
        val other = 1 - node
        if (MACHINE.permit(nodes[other], honoursFencing = true, now(other)) !=
            null
        ) {
            world = world.copy(violation = "both may order at $second")
        }
        if (permit.fencing < highestFencing || (permit.fencing == highestFencing && highestHolder != node)) {
            world = world.copy(violation = "fencing number ${permit.fencing} of i$node after $highestFencing")
        }
        world = world.copy(highestFencing = maxOf(permit.fencing, highestFencing), highestHolder = node)
        if (MACHINE.permit(nodes[node], honoursFencing = false, now(node)) == null) return world
        if (lastUnfenced[other] != NEVER && lastUnfenced[other] + LONGEST_ORDER > second) {
            world = world.copy(violation = "order of i$node at $second overlaps one of i$other at ${lastUnfenced[other]}")
        }
        return world.copy(lastUnfenced = lastUnfenced.toMutableList().also { it[node] = second })
    }

    fun now(node: Int): Moment = Moment((second + if (node == 1) second / DRIFT else 0) * 1_000_000_000L, 0)

    companion object {
        const val NEVER = -1L
        const val DRIFT = 4
        const val LONGEST_ORDER = 8L
        val MACHINE = LeaseMachine(
            LeaseSettings(
                ttl = Duration.ofSeconds(6),
                renewInterval = Duration.ofSeconds(2),
                readInterval = Duration.ofSeconds(1),
                callTimeout = Duration.ofSeconds(2),
                clockErrorBound = Duration.ofSeconds(2),
                maxOrderDuration = Duration.ofSeconds(LONGEST_ORDER),
            ),
        )
    }
}
