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
    private val planning: CapacityPlanner,
) {
    private var demands: List<CapacityDemand> = emptyList()
    private var view = CapacityView()
    private var intents: Set<EngineIntent> = emptySet()
    private val backoff = StartBackoff()
    private val outcomes = HashMap<String, OrderOutcome>()
    private val sentAt = HashMap<String, Instant>()
    private val doneSince = HashMap<String, Instant>()
    private val surplusSince = HashMap<String, Instant>()
    private var enginesPausedUntil: Instant = Instant.MIN
    private var fencing = 0L
    private var record: CapacityRecord? = null
    private var version: ObjectVersion? = null
    private var askedAt: Instant? = null
    private var updated = false

    /** Sets what pools need, what the cloud reports and what engines should have loaded. */
    public fun update(
        demands: List<CapacityDemand>,
        view: CapacityView,
        intents: Set<EngineIntent> = emptySet(),
    ) {
        this.demands = demands
        this.view = view
        this.intents = intents
        updated = true
    }

    /** Result of [CapacityCommand.ReadRecord]; an empty record and a null version when there is none. */
    public fun onRecordRead(
        stored: CapacityRecord,
        storedVersion: ObjectVersion?,
    ) {
        record = stored
        version = storedVersion
        askedAt = null
    }

    /** Result of [CapacityCommand.WriteRecord]; null for [newVersion] when the write failed or its answer was lost. */
    public fun onRecordWritten(
        written: CapacityRecord,
        newVersion: ObjectVersion?,
    ) {
        askedAt = null
        if (newVersion == null) return
        record = written
        version = newVersion
        val open = written.orders.map { it.requestId }.toSet()
        listOf(outcomes.keys, sentAt.keys, doneSince.keys).forEach { it.retainAll(open) }
    }

    /** Result of an order. */
    public fun onOrderOutcome(
        requestId: String,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        val order = record?.orders?.firstOrNull { it.requestId == requestId } ?: return
        when (outcome) {
            OrderOutcome.Done -> order.start?.let(backoff::succeeded)
            OrderOutcome.Refused -> order.start?.let { backoff.refused(it, now) }
            OrderOutcome.Unknown -> return
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
            askedAt = null
            updated = false
        }
        // A view from before the term would drop or repeat what the last holder has ordered.
        if (!updated) return emptyList()
        if (askedAt?.let { now < it.plus(STORE_RETRY) } == true) return emptyList()
        val known = record
        if (known == null) {
            askedAt = now
            return listOf(CapacityCommand.ReadRecord)
        }
        val next = next(known, now)
        if (next != known) {
            askedAt = now
            record = null
            return listOf(CapacityCommand.WriteRecord(next, version))
        }
        return give(known, now) + stops(known, now)
    }

    /** The record with known outcomes and new orders. */
    private fun next(
        known: CapacityRecord,
        now: Instant,
    ): CapacityRecord {
        val listed = view.instances.mapNotNull { it.requestId }.toSet()
        val settled = known.orders.mapNotNull { settle(it, listed, now) }
        val wanted = newStarts(settled, now) + newEngineOrders(settled)
        val orders = wanted.mapIndexed { i, order -> order.copy(requestId = requestId(order, known.sequence + i + 1)) }
        return CapacityRecord(known.sequence + orders.size, settled + orders)
    }

    private fun settle(
        order: RecordedOrder,
        listed: Set<String>,
        now: Instant,
    ): RecordedOrder? {
        val outcome = outcomes[order.requestId]
        if (order.engine != null) return settleEngine(order, outcome, now)
        // A started instance counts through the cloud's list; until it is listed the order stands for it.
        if (order.requestId in listed || outcome == OrderOutcome.Refused) return null
        val done = if (outcome == OrderOutcome.Done) order.copy(state = OrderState.DONE) else order
        // An instance that ended before the lagging list showed it must not count as capacity for ever.
        val lost = done.state == OrderState.DONE && now > doneSince.getOrPut(order.requestId) { now }.plus(LIST_LAG)
        return if (lost) null else done
    }

    private fun settleEngine(
        order: RecordedOrder,
        outcome: OrderOutcome?,
        now: Instant,
    ): RecordedOrder? {
        if (outcome == OrderOutcome.Refused) return null
        val settled = if (outcome == OrderOutcome.Done) order.copy(state = OrderState.DONE) else order
        if (order.engine in intents) {
            doneSince.remove(order.requestId)
            return settled
        }
        // The intents follow the lagging list; an order that was forgotten too early would be given again.
        val forgotten = now > doneSince.getOrPut(order.requestId) { now }.plus(LIST_LAG)
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
                val present = counts(demand.pool, orders)
                target(demand, now).flatMap { (key, count) ->
                    List((count - (present[key] ?: 0)).coerceAtLeast(0)) { RecordedOrder("", fencing, demand.pool, start = key) }
                }
            }.take(room)
    }

    private fun newEngineOrders(orders: List<RecordedOrder>): List<RecordedOrder> {
        val known = orders.mapNotNull { it.engine }.toSet()
        return intents.filterNot { it in known }.map { RecordedOrder("", fencing, engine = it) }
    }

    private fun target(
        demand: CapacityDemand,
        now: Instant,
    ): Map<OfferKey, Int> {
        val open = view.offers.filterNot { backoff.blocked(it.key, now) }
        return planning.plan(demand, open, counts(demand.pool, emptyList()))
    }

    private fun counts(
        pool: PoolName,
        orders: List<RecordedOrder>,
    ): Map<OfferKey, Int> {
        val present = instancesOf(pool).filterNot { it.id in view.leaving }.map(::keyOf)
        return (present + orders.filter { it.pool == pool }.mapNotNull { it.start }).groupingBy { it }.eachCount()
    }

    private fun give(
        known: CapacityRecord,
        now: Instant,
    ): List<CapacityCommand> =
        known.orders
            .filter { it.state == OrderState.PLANNED && it.requestId !in outcomes }
            .filter { order -> sentAt[order.requestId]?.let { now >= it.plus(ORDER_RETRY) } != false }
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
    private fun stops(
        known: CapacityRecord,
        now: Instant,
    ): List<CapacityCommand> =
        demands.mapNotNull { demand ->
            val surplus = surplus(demand, now)
            surplusSince.keys.retainAll { id ->
                id in surplus.map { it.id } ||
                    view.instances.any { it.id == id && poolOf(it) != demand.pool }
            }
            surplus.forEach { surplusSince.putIfAbsent(it.id, now) }
            if (known.orders.any { it.pool == demand.pool } || !allReady(demand, now)) return@mapNotNull null
            surplus.firstOrNull { now >= surplusSince.getValue(it.id).plus(SURPLUS_HOLD) }?.let { CapacityCommand.Stop(it.id) }
        }

    private fun surplus(
        demand: CapacityDemand,
        now: Instant,
    ): List<CloudInstance> {
        val target = target(demand, now)
        return instancesOf(demand.pool)
            .filterNot { it.id in view.leaving }
            .groupBy(::keyOf)
            .flatMap { (key, members) -> members.sortedBy { it.id }.drop(target[key] ?: 0) }
    }

    private fun allReady(
        demand: CapacityDemand,
        now: Instant,
    ): Boolean {
        val ready = instancesOf(demand.pool).filter { it.id in view.ready }.groupingBy(::keyOf).eachCount()
        return target(demand, now).all { (key, count) -> (ready[key] ?: 0) >= count }
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
        val STORE_RETRY: Duration = Duration.ofSeconds(2)
        val ORDER_RETRY: Duration = Duration.ofSeconds(5)
        val LIST_LAG: Duration = Duration.ofMinutes(3)
        val SURPLUS_HOLD: Duration = Duration.ofMinutes(5)
    }
}
