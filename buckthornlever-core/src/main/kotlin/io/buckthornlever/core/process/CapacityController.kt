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
 * Reconciles the instances of all pools and the state of engines with the plan. Only the lease holder acts. Every order is stored
 * before it is sent and keeps its request id until its outcome is known, so neither a lost answer nor a change of the holder makes
 * it run twice: a stale holder cannot store new orders, and repeats stored ones only under their original request ids.
 */
public class CapacityController(
    private val planner: CapacityPlanner,
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

    /** Updates the demand of pools, the state that the cloud reports and the desired state of engines. */
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

    /** Reports the result of [CapacityCommand.ReadRecord]: an empty record and a null version if nothing is stored. */
    public fun onRecordRead(
        stored: CapacityRecord,
        storedVersion: ObjectVersion?,
    ) {
        record = stored
        version = storedVersion
        storeRequestedAt = null
    }

    /** Reports the result of [CapacityCommand.WriteRecord]; [newVersion] is null when the write failed or its answer was lost. */
    public fun onRecordWritten(
        written: CapacityRecord,
        newVersion: ObjectVersion?,
    ) {
        storeRequestedAt = null
        if (newVersion == null) return
        record = written
        version = newVersion
        val openIds = written.orders.map { it.requestId }.toSet()
        listOf(outcomes.keys, sentAt.keys, missingSince.keys).forEach { it.retainAll(openIds) }
    }

    /** Reports the outcome of the order with [requestId]; ignored when the record holds no such order. */
    public fun onOrderOutcome(
        requestId: String,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        val order = record?.orders?.firstOrNull { it.requestId == requestId } ?: return
        when (outcome) {
            OrderOutcome.Done -> order.start?.let(backoff::onSucceeded)
            OrderOutcome.Refused -> order.start?.let { backoff.onRefused(it, now) }
            OrderOutcome.Unknown -> return
            is OrderOutcome.RateLimited -> {
                enginesPausedUntil = now.plus(outcome.retryAfter)
                return
            }
        }
        outcomes[requestId] = outcome
    }

    /** Returns the commands that are due at [now]; [lease] is null unless this instance holds it. */
    public fun tick(
        now: Instant,
        lease: HeldLease?,
    ): List<CapacityCommand> {
        if (lease == null || now >= lease.expiresAt) {
            record = null
            return emptyList()
        }
        if (lease.fencing != fencing) {
            // A new lease term starts from the stored record, which another holder may have changed.
            fencing = lease.fencing
            record = null
            storeRequestedAt = null
            updatedInTerm = false
        }
        // Acting on a view from before the term would drop or repeat orders of the previous holder.
        if (!updatedInTerm) return emptyList()
        if (storeRequestedAt?.let { now < it.plus(STORE_RETRY_INTERVAL) } == true) return emptyList()
        val stored = record
        if (stored == null) {
            storeRequestedAt = now
            return listOf(CapacityCommand.ReadRecord)
        }
        val next = nextRecord(stored, now)
        if (next != stored) {
            storeRequestedAt = now
            record = null
            return listOf(CapacityCommand.WriteRecord(next, version))
        }
        return sendPlannedOrders(stored, now) + stopCommands(stored, now)
    }

    /** Returns [stored] with known outcomes applied and new orders added. */
    private fun nextRecord(
        stored: CapacityRecord,
        now: Instant,
    ): CapacityRecord {
        val listed = view.instances.mapNotNull { it.requestId }.toSet()
        val kept = stored.orders.mapNotNull { applyOutcome(it, listed, now) }
        val unnumbered = newStarts(kept, now) + newEngineOrders(kept)
        val added = unnumbered.mapIndexed { i, order -> order.copy(requestId = requestId(order, stored.sequence + i + 1)) }
        return CapacityRecord(stored.sequence + added.size, kept + added)
    }

    /** Returns [order] with its outcome applied, or null when the order can be dropped from the record. */
    private fun applyOutcome(
        order: RecordedOrder,
        listed: Set<String>,
        now: Instant,
    ): RecordedOrder? {
        val outcome = outcomes[order.requestId]
        if (order.engine != null) return applyEngineOutcome(order, outcome, now)
        // Until the cloud lists a started instance, its order counts as the instance.
        if (order.requestId in listed || outcome == OrderOutcome.Refused) return null
        val done = if (outcome == OrderOutcome.Done) order.copy(state = OrderState.DONE) else order
        // The list lags: an instance may end before it is ever listed, and must not count as capacity forever.
        val expired = done.state == OrderState.DONE && now > missingSince.getOrPut(order.requestId) { now }.plus(MAX_LIST_LAG)
        return if (expired) null else done
    }

    private fun applyEngineOutcome(
        order: RecordedOrder,
        outcome: OrderOutcome?,
        now: Instant,
    ): RecordedOrder? {
        if (outcome == OrderOutcome.Refused) return null
        val updated = if (outcome == OrderOutcome.Done) order.copy(state = OrderState.DONE) else order
        if (order.engine in intents) {
            missingSince.remove(order.requestId)
            return updated
        }
        // The intents follow the lagging list: an order that is dropped too early would be issued again.
        val expired = now > missingSince.getOrPut(order.requestId) { now }.plus(MAX_LIST_LAG)
        return if (expired) null else updated
    }

    private fun newStarts(
        orders: List<RecordedOrder>,
        now: Instant,
    ): List<RecordedOrder> {
        val starting = orders.filter { it.start != null }
        val free = (MAX_STARTING - starting.count { it.state == OrderState.PLANNED }).coerceAtLeast(0)
        return demands
            .flatMap { demand ->
                val present = existingCounts(demand.pool, orders)
                plannedCounts(demand, now).flatMap { (key, count) ->
                    List((count - (present[key] ?: 0)).coerceAtLeast(0)) { RecordedOrder("", fencing, demand.pool, start = key) }
                }
            }.take(free)
    }

    private fun newEngineOrders(orders: List<RecordedOrder>): List<RecordedOrder> {
        val ordered = orders.mapNotNull { it.engine }.toSet()
        return intents.filterNot { it in ordered }.map { RecordedOrder("", fencing, engine = it) }
    }

    private fun plannedCounts(
        demand: CapacityDemand,
        now: Instant,
    ): Map<OfferKey, Int> {
        val available = view.offers.filterNot { backoff.isBlocked(it.key, now) }
        return planner.plan(demand, available, existingCounts(demand.pool, emptyList()))
    }

    private fun existingCounts(
        pool: PoolName,
        orders: List<RecordedOrder>,
    ): Map<OfferKey, Int> {
        val present = instancesOf(pool).filterNot { it.id in view.leaving }.map(::keyOf)
        return (present + orders.filter { it.pool == pool }.mapNotNull { it.start }).groupingBy { it }.eachCount()
    }

    private fun sendPlannedOrders(
        stored: CapacityRecord,
        now: Instant,
    ): List<CapacityCommand> =
        stored.orders
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
            val engineOrder = EngineOrder(fencing, engine.kind, engine.model, engine.version, order.requestId)
            return CapacityCommand.OrderEngine(engine.upstream, engineOrder)
        }
        val start = requireNotNull(order.start) { "order ${order.requestId} has neither a start nor an engine intent" }
        val request = CloudStartRequest(order.requestId, start.failureDomain, start.machineClass, start.kind)
        return CapacityCommand.Start(request, fencing)
    }

    /**
     * Stops at most one instance per pool and call: one that has been surplus for [SURPLUS_STOP_DELAY], if the record holds no
     * orders of the pool and all planned instances are ready.
     */
    private fun stopCommands(
        stored: CapacityRecord,
        now: Instant,
    ): List<CapacityCommand> =
        demands.mapNotNull { demand ->
            val surplus = surplusInstances(demand, now)
            surplusSince.keys.retainAll { id ->
                id in surplus.map { it.id } ||
                    view.instances.any { it.id == id && poolOf(it) != demand.pool }
            }
            surplus.forEach { surplusSince.putIfAbsent(it.id, now) }
            if (stored.orders.any { it.pool == demand.pool } || !plannedAreReady(demand, now)) return@mapNotNull null
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
        /** Maximum number of concurrent starts: a cloud refuses bursts, and each instance is paid for before it is useful. */
        const val MAX_STARTING = 16

        /** Time without an answer from the store after which the record is read again. */
        val STORE_RETRY_INTERVAL: Duration = Duration.ofSeconds(2)

        /** Interval at which an order without a known outcome is sent again. */
        val ORDER_RETRY_INTERVAL: Duration = Duration.ofSeconds(5)

        /** Time by which the cloud's list of instances may lag. */
        val MAX_LIST_LAG: Duration = Duration.ofMinutes(3)

        /** Time for which an instance must be surplus before it is stopped. */
        val SURPLUS_STOP_DELAY: Duration = Duration.ofMinutes(5)
    }
}
