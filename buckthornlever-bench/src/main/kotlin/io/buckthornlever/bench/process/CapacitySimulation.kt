package io.buckthornlever.bench.process

import io.buckthornlever.api.connection.EngineOrderKind
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.core.process.CapacityCommand
import io.buckthornlever.core.process.CapacityController
import io.buckthornlever.core.process.CapacityDemand
import io.buckthornlever.core.process.CapacityPlanner
import io.buckthornlever.core.process.CapacityRecord
import io.buckthornlever.core.process.CapacityView
import io.buckthornlever.core.process.EngineIntent
import io.buckthornlever.core.process.OrderOutcome
import io.buckthornlever.core.version.HeldLease
import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlin.math.ceil

/** One day of one pool under changing load, with two instances that take turns in holding the lease. */
internal class CapacitySimulation(
    seed: Long,
    planning: () -> CapacityPlanner,
) {
    private val day = CapacityDay(seed)
    private val cloud = SimulatedCloud(day, seed + 1)
    private val random = SplittableRandom(seed + 2)
    private val loop = EventLoop()
    private val controllers = List(2) { CapacityController(planning()) }
    private val recorded = HashSet<String>()
    private val engineRuns = HashMap<EngineIntent, MutableSet<String>>()
    private val engineSeen = HashSet<String>()
    private var record = CapacityRecord()
    private var version = 0L
    private var term = 1
    private var loads = 0
    private var cost = 0.0
    private var missed = 0
    private var step = 0
    private var repeatedEngineCalls = 0

    fun run(): CapacityResult {
        loop.every(Duration.ofSeconds(CapacityDay.STEP_SECONDS), Duration.ZERO) { if (step < CapacityDay.STEPS) step() }
        loop.runUntil(Instant.EPOCH.plusSeconds(CapacityDay.STEP_SECONDS * CapacityDay.STEPS))
        val twice = cloud.startsByRequest.values.count { it > 1 } + engineRuns.values.count { it.size > 1 }
        val unrecorded = cloud.startsByRequest.keys.count { it !in recorded }
        return CapacityResult(
            cost = cost,
            missedPercent = 100.0 * missed / (CapacityDay.STEPS - START_STEPS),
            starts = cloud.startsByRequest.size,
            refusals = cloud.refusals,
            duplicates = twice + unrecorded,
            repeatedCalls = cloud.repeatedCalls + repeatedEngineCalls,
            engineOrders = engineRuns.size,
        )
    }

    private fun step() {
        if (day.holderChanges(step)) term++
        cloud.end(step)
        day.wave(step)?.let { cloud.reclaim(it, step) }
        loads = 0
        val offers = day.offers(step).associateBy { it.key }
        // The last holder does not notice at once that its lease went to the other instance.
        val terms = listOfNotNull(term, (term - 1).takeIf { day.holderChanges(step) })
        repeat(ROUNDS) {
            terms.forEach { held ->
                val controller = controllers[held % 2]
                val now = loop.clock.now()
                val commands = controller.tick(now, HeldLease(held.toLong(), now.plusSeconds(5)))
                controller.update(listOf(demand()), view(), intents())
                commands.forEach { execute(controller, it) }
            }
        }
        cost += cloud.cost { offers.getValue(it).pricePerHour } * CapacityDay.STEP_SECONDS / 3_600
        val bears = cloud.capacity(step) { offers.getValue(it).capacity } * TARGET_USE
        if (step >= START_STEPS && day.load(step) > bears) missed++
        step++
    }

    /** Highest load of the last ten minutes, with room for its growth while instances start. */
    private fun demand(): CapacityDemand {
        val recent = (maxOf(0, step - 60)..step).maxOf { day.load(it) }
        return CapacityDemand(PoolName("models"), ceil(recent * GROWTH / TARGET_USE).toInt())
    }

    private fun view(): CapacityView = CapacityView(cloud.instances(), cloud.ready(step), cloud.leaving(), day.offers(step))

    private fun intents(): Set<EngineIntent> {
        val wanted = if (step < CapacityDay.STEPS / 2) "v1" else "v2"
        return cloud.instances().map { EngineIntent(UpstreamId(it.id), EngineOrderKind.LOAD_MODEL, "course", wanted) }.toSet()
    }

    private fun execute(
        controller: CapacityController,
        command: CapacityCommand,
    ) {
        val now = loop.clock.now()
        when (command) {
            CapacityCommand.ReadRecord -> if (!day.storeDown(step)) controller.onRecordRead(record, ObjectVersion(version))
            is CapacityCommand.WriteRecord -> controller.onRecordWritten(command.record, write(command))
            is CapacityCommand.Start -> controller.onOrderOutcome(command.request.requestId, cloud.start(command.request, step), now)
            is CapacityCommand.OrderEngine -> controller.onOrderOutcome(command.order.requestId, order(command), now)
            is CapacityCommand.Stop -> cloud.stop(command.instanceId)
        }
    }

    private fun write(command: CapacityCommand.WriteRecord): ObjectVersion? {
        if (day.storeDown(step) || command.expected?.value != version) return null
        record = command.record
        recorded.addAll(record.orders.map { it.requestId })
        version++
        return if (random.nextInt(15) == 0) null else ObjectVersion(version)
    }

    /** The engine reads its weights from the store, which bears a few reads per step. */
    private fun order(command: CapacityCommand.OrderEngine): OrderOutcome {
        val order = command.order
        if (!engineSeen.add(order.requestId)) {
            repeatedEngineCalls++
            return OrderOutcome.Done
        }
        if (loads >= LOADS_PER_STEP) {
            engineSeen.remove(order.requestId)
            return OrderOutcome.RateLimited(Duration.ofSeconds(CapacityDay.STEP_SECONDS))
        }
        loads++
        engineRuns.getOrPut(EngineIntent(command.upstream, order.kind, order.model, order.version)) { HashSet() }.add(order.requestId)
        return if (random.nextInt(15) == 0) OrderOutcome.Unknown else OrderOutcome.Done
    }

    private companion object {
        const val ROUNDS = 3
        const val TARGET_USE = 0.8
        const val GROWTH = 1.1
        const val LOADS_PER_STEP = 3

        /** The first instances start from nothing. */
        const val START_STEPS = 60
    }
}
