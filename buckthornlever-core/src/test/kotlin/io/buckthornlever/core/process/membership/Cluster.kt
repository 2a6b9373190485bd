package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.ManualClock
import java.time.Duration
import java.time.Instant
import kotlin.random.Random

/** A few membership state machines whose datagrams arrive at once unless [cut] or [loss] drops them. */
internal class Cluster(
    size: Int,
    seed: Long = 1,
    private val loss: Double = 0.0,
) {
    val clock = ManualClock(Instant.ofEpochSecond(1_000))
    val addresses = List(size) { address(it) }
    val nodes = addresses.associate { it.id to Membership(it, 1, MembershipSettings(), Random(seed + it.port)) }.toMutableMap()
    val commands = HashMap<InstanceId, MutableList<MembershipCommand>>()
    val frozen = HashSet<InstanceId>()
    var cut: (InstanceId, InstanceId) -> Boolean = { _, _ -> false }
    private val random = Random(seed)
    private val inbox = ArrayDeque<Pair<InstanceId, MembershipEvent>>()

    fun now(): Moment = Moment.of(clock)

    fun node(index: Int): Membership = nodes.getValue(addresses[index].id)

    fun introduceAll() {
        val all = nodes.values.map { it.ownUpdate }
        nodes.keys.forEach { send(it, MembershipEvent.MembersReceived(all)) }
    }

    fun send(to: InstanceId, event: MembershipEvent) {
        inbox.addLast(to to event)
        drain()
    }

    fun run(duration: Duration) {
        repeat((duration.toMillis() / TICK.toMillis()).toInt()) {
            clock.advance(TICK)
            nodes.keys.filter { it !in frozen }.forEach { send(it, MembershipEvent.Tick) }
        }
    }

    private fun drain() {
        while (inbox.isNotEmpty()) {
            val (to, event) = inbox.removeFirst()
            val node = nodes[to]
            if (node == null || to in frozen) continue
            val produced = node.handle(event, now())
            commands.getOrPut(to) { ArrayList() }.addAll(produced)
            produced.forEach { deliver(to, it) }
        }
    }

    private fun deliver(from: InstanceId, command: MembershipCommand) {
        when (command) {
            is MembershipCommand.Send -> {
                val lost = random.nextDouble() < loss || cut(from, command.to.id)
                if (!lost) inbox.addLast(command.to.id to MembershipEvent.Received(from, command.message))
            }

            is MembershipCommand.PullMembers -> {
                val source = nodes[command.from.id] ?: return
                if (!cut(from, command.from.id)) {
                    inbox.addLast(from to MembershipEvent.MembersReceived(source.allUpdates(), source.facts().all()))
                }
            }

            else -> Unit
        }
    }

    companion object {
        val TICK: Duration = Duration.ofMillis(100)

        fun address(index: Int): MemberAddress =
            MemberAddress(InstanceId("i-%04d".format(index)), "127.0.0.1", 10_000 + index, FailureDomain("z${index % 3}"))
    }
}
