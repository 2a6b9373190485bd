package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.serving.VersionOrder
import io.buckthornlever.api.version.MoveId
import io.buckthornlever.api.version.MoveState
import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.api.version.VersionMove
import io.buckthornlever.core.serving.OrderedVersion
import java.time.Duration
import java.time.Instant
import java.time.temporal.ChronoUnit
import java.util.TreeMap

/**
 * Carries out operators' orders to move services to other versions. The lease holder starts the move of an order and records its
 * progress with the order; until then, and after a rollback, the ordered version gets no requests while another one can serve. All
 * other versions of the service count as one. Not thread-safe.
 *
 * @param sharePercent largest share of requests for an ordered version that has not proved good, in percent
 * @param evidenceInterval time between two [MoveCommand.SendEvidence] of a move
 */
public class VersionOrders(
    self: InstanceId,
    private val sharePercent: Int,
    evidenceInterval: () -> Duration,
) {
    private val moves = VersionMoves(self, evidenceInterval)
    private val selector = VersionSelector(self)
    private val orders = TreeMap<PoolName, OrderedMove>()
    private var weights = emptyMap<PoolName, VersionWeights>()

    /** Number of services with an order. */
    public val size: Int get() = orders.size

    /** Records of all moves that have started. */
    public val statuses: List<MoveStatus> get() = moves.statuses()

    /** Stops of all moves. */
    public val stops: List<VersionStop> get() = moves.stops()

    /** Records [order] with the [status] that is stored with it; returns true if it is new. */
    public fun onOrder(
        order: VersionOrder,
        status: MoveStatus?,
    ): Boolean {
        val service = PoolName(order.service)
        val known = orders[service]?.takeIf { it.order.target == order.target }
        // An order without a record where there was one has been withdrawn and given again.
        val current = known?.takeIf { status != null || !it.isRecorded }
        val stored = status?.takeIf { it.move.to == order.target.value && it.move.pool == service }
        orders[service] = OrderedMove(order, stored?.move ?: current?.id, stored != null)
        configure()
        stored?.let(moves::mergeStatus)
        return known == null
    }

    /** The store was restored from a copy: an order that comes without its record is still the same one, whose record is written again. */
    public fun onStoreRestored() {
        orders.replaceAll { _, ordered -> ordered.copy(isRecorded = false) }
        moves.onStoreRestored()
    }

    /** Records that the order for [service] was withdrawn. */
    public fun onWithdrawn(service: String) {
        if (orders.remove(PoolName(service)) != null) configure()
    }

    /** The order for [service], null if there is none. */
    public fun orderFor(service: PoolName): VersionOrder? = orders[service]?.order

    /** Version that [service] has been ordered to move to, also after a rollback; null without an order. */
    public fun orderedVersion(service: String): OrderedVersion? {
        val name = PoolName(service)
        val target = orders[name]?.order?.target ?: return null
        return OrderedVersion(target, statuses.any { it.move.pool == name && it.state == MoveState.DONE })
    }

    /**
     * Advances all moves.
     *
     * @param lease null unless this instance holds the lease, whose holder also starts the moves of new orders
     * @param canCarryLoad whether the upstreams of a version could carry the load of their service
     */
    public fun tick(
        now: Instant,
        lease: HeldLease?,
        canCarryLoad: (VersionOrder) -> Boolean,
    ): List<MoveCommand> {
        if (orders.isEmpty()) return emptyList()
        if (lease != null) start(now)
        val commands = moves.tick(now, lease) { service -> orders[service]?.order?.let(canCarryLoad) ?: false }
        weights = moves.weights(now)
        return commands
    }

    /** Returns true if the next request of [route] at [service] is one of those for the ordered version. */
    public fun draw(
        service: String,
        route: RouteName,
    ): Boolean {
        val split = weights[PoolName(service)] ?: return false
        return selector.select(PoolName(service), route, split) == split.new
    }

    /** Versions at which a request at [service] may be placed now; [isDrawn] is the result of [draw] for it. */
    public fun choice(
        service: String,
        isDrawn: Boolean,
    ): VersionChoice {
        val name = PoolName(service)
        val target = orders[name]?.order?.target ?: return VersionChoice.Any
        val share = weights[name]?.newPermille ?: 0
        val isPreferred = share == MoveSchedule.FULL_PERMILLE || (isDrawn && share > 0)
        return if (isPreferred) VersionChoice.Preferring(target) else VersionChoice.Avoiding(target)
    }

    /** Records the outcome of an attempt at an upstream of any version. */
    public fun observe(
        outcome: Outcome,
        now: Instant,
    ) {
        val target = orders[outcome.pool]?.order?.target ?: return
        moves.observe(if (outcome.version == target) outcome else outcome.copy(version = OTHERS), now)
    }

    /** Merges evidence received from another instance. */
    public fun mergeEvidence(
        delta: EvidenceDelta,
        now: Instant,
    ): Unit = moves.mergeEvidence(delta, now)

    /** Merges a stop received from another instance. */
    public fun mergeStop(stop: VersionStop): Unit = moves.mergeStop(stop)

    /** All evidence of this instance, for a lease holder that has none of it yet. */
    public fun fullEvidence(): List<EvidenceDelta> = moves.fullEvidence()

    /** Handles the result of [MoveCommand.ReadStatus]. */
    public fun onStatusRead(
        service: PoolName,
        stored: MoveStatus?,
        version: ObjectVersion?,
    ) {
        val ordered = orders[service] ?: return
        // An earlier lease holder has started the move.
        if (stored != null && stored.move != ordered.id) onOrder(ordered.order, stored)
        moves.onStatusRead(service, stored, version)
    }

    /** Handles the result of [MoveCommand.WriteStatus]. */
    public fun onStatusWritten(
        status: MoveStatus,
        version: ObjectVersion?,
    ): Unit = moves.onStatusWritten(status, version)

    private fun start(now: Instant) {
        val waiting = orders.filterValues { it.id == null }
        if (waiting.isEmpty()) return
        val startAt = now.truncatedTo(ChronoUnit.MILLIS).toString()
        waiting.forEach { (service, ordered) ->
            val id = MoveId(service, OTHERS.value, ordered.order.target.value, startAt)
            orders[service] = ordered.copy(id = id)
        }
        configure()
    }

    private fun configure() {
        moves.updateMoves(orders.values.mapNotNull { ordered -> ordered.id?.let { it.pool to move(it, ordered.order) } }.toMap())
        weights = weights.filterKeys { it in orders }
    }

    private fun move(
        id: MoveId,
        order: VersionOrder,
    ): VersionMove {
        val due = Instant.parse(id.startAt).plus(order.duration)
        return VersionMove(VersionLabel(id.from), order.target, id.startAt, due.toString(), sharePercent)
    }

    private data class OrderedMove(
        val order: VersionOrder,
        val id: MoveId?,
        val isRecorded: Boolean,
    )

    private companion object {
        /** Stands for all versions of a service but the ordered one. */
        val OTHERS = VersionLabel("others")
    }
}
