package io.buckthornlever.bench.process.control

import com.github.michaelbull.result.get
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.core.process.membership.MembershipEvent
import io.buckthornlever.core.process.membership.MembershipSettings
import io.buckthornlever.peer.process.PeerKeys
import java.time.Duration
import kotlin.random.Random

/** Entry instances whose datagrams pass through a queue in memory with delay and loss. */
internal class ControlCluster(
    size: Int,
    val seed: Long,
    private val loss: Double = DEFAULT_LOSS,
    private val domains: Int = 3,
    val withConfiguration: Boolean = false,
    private val settings: MembershipSettings = MembershipSettings(),
    initial: Configuration = Configuration(),
) {
    val queue = EventQueue()
    val store = MemoryStore(queue)
    val keys: PeerKeys = checkNotNull(PeerKeys.parse("ab".repeat(KEY_BYTES)).get())
    val nodes = LinkedHashMap<InstanceId, ControlNode>()
    var cut: (InstanceId, InstanceId) -> Boolean = { _, _ -> false }

    /** Declarations of death of instances that are up, counted per declaring instance. */
    var falseDeaths = 0L
        private set
    private val random = Random(seed)
    private var nextPort = FIRST_PORT

    val up: List<ControlNode> get() = nodes.values.filter { it.isUp }
    val datagrams: Long get() = nodes.values.sumOf { it.datagrams }
    val bytes: Long get() = nodes.values.sumOf { it.bytes }

    init {
        repeat(size) { add(initial) }
        val all = nodes.values.map { it.membership.ownUpdate }
        nodes.values.forEach { it.membership(MembershipEvent.MembersReceived(all)) }
        nodes.values.forEach { it.start(settings.tick) }
    }

    fun find(id: InstanceId): ControlNode? = nodes[id]

    fun declaredDead(id: InstanceId) {
        if (nodes[id]?.isUp == true) falseDeaths++
    }

    /** A new instance that knows three others from the platform's list. */
    fun join(initial: Configuration = Configuration()): ControlNode {
        val seeds = up.shuffled(random).take(SEEDS).map { it.address }
        val node = add(initial)
        node.membership(MembershipEvent.SeedsListed(seeds))
        node.start(settings.tick)
        return node
    }

    fun leave(node: ControlNode) {
        node.membership(MembershipEvent.LeaveRequested)
        queue.after(LEAVE_TIME) { node.isUp = false }
    }

    fun transmit(from: InstanceId, to: InstanceId, deliver: (ControlNode) -> Unit) {
        if (random.nextDouble() < loss || cut(from, to)) return
        queue.afterNanos(delayNanos()) { nodes[to]?.takeIf { it.isUp }?.let(deliver) }
    }

    fun exchange(from: InstanceId, to: InstanceId, deliver: (ControlNode) -> Unit) {
        if (cut(from, to)) return
        queue.afterNanos(ROUND_TRIPS * delayNanos()) {
            val target = nodes[to]
            if (target != null && target.isUp && nodes[from]?.isUp == true) deliver(target)
        }
    }

    private fun add(initial: Configuration): ControlNode {
        val port = nextPort++
        val address = MemberAddress(InstanceId("i-%05d".format(port)), "10.0.0.1", port, FailureDomain("zone-%02d".format(port % domains)))
        return ControlNode(address, START_INCARNATION, this, settings, initial).also { nodes[address.id] = it }
    }

    private fun delayNanos(): Long = MIN_DELAY_NANOS + random.nextLong(DELAY_SPREAD_NANOS)

    companion object {
        const val DEFAULT_LOSS = 0.02
        private const val KEY_BYTES = 32
        private const val SEEDS = 3
        private const val FIRST_PORT = 10_000
        private const val START_INCARNATION = 1_800_000_000L
        private const val MIN_DELAY_NANOS = 500_000L
        private const val DELAY_SPREAD_NANOS = 1_500_000L

        /** TCP needs one round trip to connect and one for the answer. */
        private const val ROUND_TRIPS = 4
        private val LEAVE_TIME: Duration = Duration.ofSeconds(3)
    }
}
