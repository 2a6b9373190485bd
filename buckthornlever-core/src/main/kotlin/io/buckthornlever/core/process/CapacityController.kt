package io.buckthornlever.core.process

import io.buckthornlever.api.connection.EngineOrder
import io.buckthornlever.api.process.CloudInstance
import io.buckthornlever.api.process.CloudStartRequest
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.core.version.HeldLease
import java.time.Duration
import java.time.Instant

/**
 * Brings the instances of all pools and the state of engines in line with the plan. Only the lease holder acts. Every order is
 * stored before it is given and keeps its request id until its outcome is known, so that neither a lost answer nor a change of
 * the holder issues it twice: a stale holder cannot store new orders, and repeats known ones only under their request ids.
 */
public class CapacityController(
    private val planner: CapacityPlanning,
) {
    private var demands: List<CapacityDemand> = emptyList()
    private var view = CapacityView()
    private var intents: Set<EngineIntent> = emptySet()
    private val backoff = StartBackoff()
    private val outcomes = HashMap<String, OrderOutcome>()
    private val sentAt = HashMap<String, Instant>()
    private val missingSince = HashMap<String, Instant>()
    private val surplusSince = HashMap<String, Instant>()
    private var enginesPausedUntil: Instant = Instant.MIN
    private var fencing = 0L
    private var record: CapacityRecord? = null
    private var version: ObjectVersion? = null
    private var storeRequestedAt: Instant? = null
    private var updatedInTerm = false

    /** Sets what pools need, what the cloud reports and what engines should have loaded. */
    public fun update(
        demands: List<CapacityDemand>,
        view: CapacityView,
        intents: Set<EngineIntent> = emptySet(),
    ) {
        this.demands = demands
        this.view = view
        this.intents = intents
        updatedInTerm = true
    }

    /** Result of [CapacityCommand.ReadRecord]; an empty record and a null version when there is none. */
    public fun recordRead(
        stored: CapacityRecord,
        storedVersion: ObjectVersion?,
    ) {
        record = stored
        version = storedVersion
        storeRequestedAt = null
    }

    /** Result of [CapacityCommand.WriteRecord]; null for [newVersion] when the write failed or its answer was lost. */
    public fun recordWritten(
        written: CapacityRecord,
        newVersion: ObjectVersion?,
    ) {
        storeRequestedAt = null
        if (newVersion == null) return
        record = written
        version = newVersion
        val open = written.orders.map { it.requestId }.toSet()
        listOf(outcomes.keys, sentAt.keys, missingSince.keys).forEach { it.retainAll(open) }
    }

    /** Result of an order. */
    public fun answered(
        requestId: String,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        val order = record?.orders?.firstOrNull { it.requestId == requestId } ?: return
        when (outcome) {
            OrderOutcome.Done -> order.start?.let(backoff::onSucceeded)
            OrderOutcome.Refused -> order.start?.let { backoff.onRefused(it, now) }
            OrderOutcome.Lost -> return
            is OrderOutcome.RateLimited -> {
                enginesPausedUntil = now.plus(outcome.retryAfter)
                return
            }
        }
        outcomes[requestId] = outcome
    }

    /** Decides what to do now; [lease] is null unless this instance holds it. */
    public fun tick(
        now: Instant,
        lease: HeldLease?,
    ): List<CapacityCommand> {
        if (lease == null || now >= lease.expiresAt) {
            record = null
            return emptyList()
        }
        if (lease.fencing != fencing) {
            // A new term starts from the stored record, which another holder may have changed.
            fencing = lease.fencing
            record = null
            storeRequestedAt = null
            updatedInTerm = false
        }
        // A view from before the term would drop or repeat what the last holder has ordered.
        if (!updatedInTerm) return emptyList()
        if (storeRequestedAt?.let { now < it.plus(STORE_RETRY_INTERVAL) } == true) return emptyList()
        val known = record
        if (known == null) {
            storeRequestedAt = now
            return listOf(CapacityCommand.ReadRecord)
        }
        val next = nextRecord(known, now)
        if (next != known) {
            storeRequestedAt = now
            record = null
            return listOf(CapacityCommand.WriteRecord(next, version))
        }
        return sendPlannedOrders(known, now) + stopCommands(known, now)
    }

    /** The record with known outcomes and new orders. */
    private fun nextRecord(
        known: CapacityRecord,
        now: Instant,
    ): CapacityRecord {
        val listed = view.instances.mapNotNull { it.requestId }.toSet()
        val settled = known.orders.mapNotNull { applyStartOutcome(it, listed, now) }
        val wanted = newStarts(settled, now) + newEngineOrders(settled)
        val orders = wanted.mapIndexed { i, order -> order.copy(requestId = requestId(order, known.sequence + i + 1)) }
        return CapacityRecord(known.sequence + orders.size, settled + orders)
    }

    private fun applyStartOutcome(
        order: RecordedOrder,
        listed: Set<String>,
        now: Instant,
    ): RecordedOrder? {
        val outcome = outcomes[order.requestId]
        if (order.engine != null) return applyEngineOutcome(order, outcome, now)
        // A started instance counts through the cloud's list; until it is listed the order stands for it.
        if (order.requestId in listed || outcome == OrderOutcome.Refused) return null
        val done = if (outcome == OrderOutcome.Done) order.copy(state = OrderState.DONE) else order
        // An instance that ended before the lagging list showed it must not count as capacity for ever.
        val lost = done.state == OrderState.DONE && now > missingSince.getOrPut(order.requestId) { now }.plus(MAX_LIST_LAG)
        return if (lost) null else done
    }

    private fun applyEngineOutcome(
        order: RecordedOrder,
        outcome: OrderOutcome?,
        now: Instant,
    ): RecordedOrder? {
        if (outcome == OrderOutcome.Refused) return null
        val settled = if (outcome == OrderOutcome.Done) order.copy(state = OrderState.DONE) else order
        if (order.engine in intents) {
            missingSince.remove(order.requestId)
            return settled
        }
        // The intents follow the lagging list; an order that was forgotten too early would be given again.
        val forgotten = now > missingSince.getOrPut(order.requestId) { now }.plus(MAX_LIST_LAG)
        return if (forgotten) null else settled
    }

    private fun newStarts(
        orders: List<RecordedOrder>,
        now: Instant,
    ): List<RecordedOrder> {
        val starting = orders.filter { it.start != null }
        val room = (MAX_STARTING - starting.count { it.state == OrderState.PLANNED }).coerceAtLeast(0)
        return demands
            .flatMap { demand ->
                val present = existingCounts(demand.pool, orders)
                plannedCounts(demand, now).flatMap { (key, count) ->
                    List((count - (present[key] ?: 0)).coerceAtLeast(0)) { RecordedOrder("", fencing, demand.pool, start = key) }
                }
            }.take(room)
    }

    private fun newEngineOrders(orders: List<RecordedOrder>): List<RecordedOrder> {
        val known = orders.mapNotNull { it.engine }.toSet()
        return intents.filterNot { it in known }.map { RecordedOrder("", fencing, engine = it) }
    }

    private fun plannedCounts(
        demand: CapacityDemand,
        now: Instant,
    ): Map<OfferKey, Int> {
        val open = view.offers.filterNot { backoff.isBlocked(it.key, now) }
        return planner.plan(demand, open, existingCounts(demand.pool, emptyList()))
    }

    private fun existingCounts(
        pool: PoolName,
        orders: List<RecordedOrder>,
    ): Map<OfferKey, Int> {
        val present = instancesOf(pool).filterNot { it.id in view.leaving }.map(::keyOf)
        return (present + orders.filter { it.pool == pool }.mapNotNull { it.start }).groupingBy { it }.eachCount()
    }

    private fun sendPlannedOrders(
        known: CapacityRecord,
        now: Instant,
    ): List<CapacityCommand> =
        known.orders
            .filter { it.state == OrderState.PLANNED && it.requestId !in outcomes }
            .filter { order -> sentAt[order.requestId]?.let { now >= it.plus(ORDER_RETRY_INTERVAL) } != false }
            .filterNot { it.engine != null && (now < enginesPausedUntil || it.engine !in intents) }
            .map { order ->
                sentAt[order.requestId] = now
                command(order)
            }

    private fun command(order: RecordedOrder): CapacityCommand {
        val engine = order.engine
        if (engine != null) {
            val text = EngineOrder(fencing, engine.kind, engine.model, engine.version, order.requestId)
            return CapacityCommand.OrderEngine(engine.upstream, text)
        }
        val start = requireNotNull(order.start) { "an order is for the cloud or for an engine" }
        val request = CloudStartRequest(order.requestId, start.failureDomain, start.machineClass, start.kind)
        return CapacityCommand.Start(request, fencing)
    }

    /** Surplus instances, one per pool and call, once all that is planned has been ready for a while. */
    private fun stopCommands(
        known: CapacityRecord,
        now: Instant,
    ): List<CapacityCommand> =
        demands.mapNotNull { demand ->
            val surplus = surplusInstances(demand, now)
            surplusSince.keys.retainAll { id ->
                id in surplus.map { it.id } ||
                    view.instances.any { it.id == id && poolOf(it) != demand.pool }
            }
            surplus.forEach { surplusSince.putIfAbsent(it.id, now) }
            if (known.orders.any { it.pool == demand.pool } || !plannedAreReady(demand, now)) return@mapNotNull null
            surplus.firstOrNull { now >= surplusSince.getValue(it.id).plus(SURPLUS_STOP_DELAY) }?.let { CapacityCommand.Stop(it.id) }
        }

    private fun surplusInstances(
        demand: CapacityDemand,
        now: Instant,
    ): List<CloudInstance> {
        val target = plannedCounts(demand, now)
        return instancesOf(demand.pool)
            .filterNot { it.id in view.leaving }
            .groupBy(::keyOf)
            .flatMap { (key, members) -> members.sortedBy { it.id }.drop(target[key] ?: 0) }
    }

    private fun plannedAreReady(
        demand: CapacityDemand,
        now: Instant,
    ): Boolean {
        val ready = instancesOf(demand.pool).filter { it.id in view.ready }.groupingBy(::keyOf).eachCount()
        return plannedCounts(demand, now).all { (key, count) -> (ready[key] ?: 0) >= count }
    }

    private fun instancesOf(pool: PoolName): List<CloudInstance> = view.instances.filter { poolOf(it) == pool }

    private fun poolOf(instance: CloudInstance): PoolName? = instance.requestId?.substringBeforeLast('/')?.let { PoolName(it) }

    private fun keyOf(instance: CloudInstance): OfferKey = OfferKey(instance.failureDomain, instance.machineClass, instance.kind)

    private fun requestId(
        order: RecordedOrder,
        number: Long,
    ): String = "${order.pool ?: "engine"}/$number"

    private companion object {
        /** Starts under way at once; a cloud refuses bursts, and each start is paid for before it is useful. */
        const val MAX_STARTING = 16
        val STORE_RETRY_INTERVAL: Duration = Duration.ofSeconds(2)
        val ORDER_RETRY_INTERVAL: Duration = Duration.ofSeconds(5)
        val MAX_LIST_LAG: Duration = Duration.ofMinutes(3)
        val SURPLUS_STOP_DELAY: Duration = Duration.ofMinutes(5)
    }
}
