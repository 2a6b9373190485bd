package io.buckthornlever.core.process

import io.buckthornlever.api.connection.EngineOrderKind
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.CloudInstance
import io.buckthornlever.api.process.CloudInstanceKind
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.core.version.HeldLease
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class CapacityControllerTest {
    private val offers =
        List(3) { InstanceOffer(OfferKey(FailureDomain("d$it"), "m", CloudInstanceKind.RECLAIMABLE), 4, 1.0) } +
            List(3) { InstanceOffer(OfferKey(FailureDomain("d$it"), "m", CloudInstanceKind.ON_DEMAND), 4, 3.0) }
    private val demands = listOf(CapacityDemand(PoolName("p"), 24))
    private val intent = EngineIntent(UpstreamId("u1"), EngineOrderKind.LOAD_MODEL, "m", "v1")

    /** Store, cloud and engine in one; [chance] decides which answers get lost. */
    private class World(
        val chance: () -> Boolean,
    ) {
        var record = CapacityRecord()
        var version: ObjectVersion? = null
        val instances = LinkedHashMap<String, CloudInstance>()
        val engineRuns = HashMap<String, Int>()
        val refused = HashSet<OfferKey>()
        var now: Instant = Instant.EPOCH

        fun run(
            controller: CapacityController,
            commands: List<CapacityCommand>,
        ) = commands.forEach { command ->
            when (command) {
                CapacityCommand.ReadRecord -> controller.onRecordRead(record, version)
                is CapacityCommand.WriteRecord -> controller.onRecordWritten(command.record, write(command))
                is CapacityCommand.Start -> controller.onOrderOutcome(command.request.requestId, start(command), now)
                is CapacityCommand.OrderEngine -> {
                    engineRuns.merge(command.order.requestId, 1, Int::plus)
                    controller.onOrderOutcome(command.order.requestId, if (chance()) OrderOutcome.Unknown else OrderOutcome.Done, now)
                }
                is CapacityCommand.Stop -> instances.values.removeIf { it.id == command.instanceId }
            }
        }

        private fun write(command: CapacityCommand.WriteRecord): ObjectVersion? {
            if (command.expected != version) return null
            record = command.record
            version = ObjectVersion((version?.value ?: 0) + 1)
            return if (chance()) null else version
        }

        private fun start(command: CapacityCommand.Start): OrderOutcome {
            val request = command.request
            val key = OfferKey(request.failureDomain, request.machineClass, request.kind)
            if (key in refused) return OrderOutcome.Refused
            instances.getOrPut(request.requestId) {
                CloudInstance("c${request.requestId}", request.failureDomain, request.machineClass, request.kind, request.requestId)
            }
            return if (chance()) OrderOutcome.Unknown else OrderOutcome.Done
        }

        fun view(offers: List<InstanceOffer>): CapacityView {
            val all = instances.values.toList()
            return CapacityView(all, all.map { it.id }.toSet(), emptySet(), offers)
        }
    }

    private fun capacity(
        world: World,
        without: String = "",
    ): Int = world.instances.values.count { it.failureDomain.value != without } * 4

    @Property(tries = 100, seed = "33")
    fun `lost answers and changes of the holder neither start too many instances nor leave too few`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = SplittableRandom(seed)
        val world = World { random.nextInt(3) == 0 }
        val holders = List(3) { CapacityController(SpreadPlanner()) }
        var fencing = 1
        repeat(400) {
            world.now = world.now.plusSeconds(1)
            if (random.nextInt(40) == 0) fencing++
            // A paused holder that does not know yet that its lease went to another one acts in between.
            listOfNotNull(fencing, (fencing - 1).takeIf { random.nextInt(10) == 0 && it > 0 }).forEach { term ->
                val holder = holders[term % 3]
                if (random.nextBoolean()) holder.update(demands, world.view(offers), setOf(intent))
                world.run(holder, holder.tick(world.now, HeldLease(term.toLong(), world.now.plusSeconds(10))))
            }
        }
        val plan = SpreadPlanner().plan(demands.single(), offers, emptyMap())
        assertEquals(plan.values.sum(), world.instances.size, "instances against the plan")
        listOf("d0", "d1", "d2").forEach { assertTrue(capacity(world, it) >= 24, "capacity without $it") }
        assertEquals(1, world.engineRuns.size, "request ids of the order to the engine")
    }

    @Test
    fun `after a refused start other offers are tried and the refused one is left alone for a while`() {
        val world = World { false }
        world.refused.add(offers[0].key)
        val controller = CapacityController(SpreadPlanner())
        var starts = 0
        repeat(25) {
            world.now = world.now.plusSeconds(1)
            controller.update(demands, world.view(offers))
            val commands = controller.tick(world.now, HeldLease(1, world.now.plusSeconds(10)))
            starts +=
                commands.count {
                    it is CapacityCommand.Start && it.request.failureDomain == FailureDomain("d0") &&
                        it.request.kind == CloudInstanceKind.RECLAIMABLE
                }
            world.run(controller, commands)
        }
        assertTrue(starts in 1..3, "$starts starts of the refused offer within its wait")
        listOf("d0", "d1", "d2").forEach { assertTrue(capacity(world, it) >= 24, "capacity without $it") }
    }

    @Test
    fun `engine orders wait when the weight store is out of budget`() {
        val world = World { false }
        val controller = CapacityController(SpreadPlanner())
        controller.update(emptyList(), CapacityView(), setOf(intent))
        val lease = { HeldLease(1, world.now.plusSeconds(10)) }
        controller.tick(world.now, lease())
        controller.update(emptyList(), CapacityView(), setOf(intent))
        repeat(2) { world.run(controller, controller.tick(world.now, lease())) }
        val order = controller.tick(world.now, lease()).filterIsInstance<CapacityCommand.OrderEngine>().single().order
        controller.onOrderOutcome(order.requestId, OrderOutcome.RateLimited(Duration.ofSeconds(30)), world.now)
        world.now = world.now.plusSeconds(20)
        assertTrue(controller.tick(world.now, lease()).isEmpty())
        world.now = world.now.plusSeconds(11)
        val repeated = controller.tick(world.now, lease()).filterIsInstance<CapacityCommand.OrderEngine>().single().order
        assertEquals(order.requestId, repeated.requestId)
    }

    @Test
    fun `an instance that ends before the list shows it is replaced`() {
        val world = World { false }
        val controller = CapacityController(SpreadPlanner())
        repeat(300) {
            world.now = world.now.plusSeconds(1)
            // The cloud's list never shows anything in the first 100 seconds, and what was started in them is gone afterwards.
            if (it == 100) world.instances.clear()
            controller.update(demands, if (it < 100) CapacityView(offers = offers) else world.view(offers))
            world.run(controller, controller.tick(world.now, HeldLease(1, world.now.plusSeconds(10))))
        }
        listOf("d0", "d1", "d2").forEach { assertTrue(capacity(world, it) >= 24, "capacity without $it") }
    }
}
