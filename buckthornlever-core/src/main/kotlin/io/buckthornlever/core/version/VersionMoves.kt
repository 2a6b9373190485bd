package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.version.MoveId
import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.api.version.VersionMove
import java.time.Duration
import java.time.Instant

/**
 * Controls all version moves on one entry instance. Not thread-safe: the control loop owns it and publishes [weights].
 *
 * Any instance stops a bad version at once, on its own or merged evidence. Only the record written by the lease holder can raise the
 * new version's share.
 *
 * @param evidenceInterval time between two [MoveCommand.SendEvidence] of a move
 */
public class VersionMoves(
    private val self: InstanceId,
    private val evidenceInterval: () -> Duration = { DEFAULT_EVIDENCE_INTERVAL },
) : VersionRouting {
    private val controllers = sortedMapOf<PoolName, MoveController>()
    private val pendingStops = LinkedHashMap<MoveId, VersionStop>()

    /** Applies the moves of a new revision of the pool table. */
    public fun updateTable(table: PoolTable): Unit =
        updateMoves(table.pools.mapNotNull { pool -> pool.move?.let { pool.name to it } }.toMap())

    /** Replaces the moves, by pool. */
    public fun updateMoves(moves: Map<PoolName, VersionMove>) {
        controllers.keys.retainAll(moves.keys)
        moves.forEach { (pool, move) ->
            val id = MoveId.of(pool, move)
            val controller =
                controllers[pool]?.takeIf { it.id == id }
                    ?: MoveController(self, id, move, evidenceInterval).also { controllers[pool] = it }
            controller.reconfigure(move)
            pendingStops.remove(id)?.let(controller::mergeStop)
        }
    }

    override fun observe(
        outcome: Outcome,
        now: Instant,
    ) {
        controllers[outcome.pool]?.evidence?.observe(outcome, now)
    }

    /** Merges evidence received from a peer. */
    public fun mergeEvidence(
        delta: EvidenceDelta,
        now: Instant,
    ) {
        controllers[delta.move.pool]?.evidence?.merge(delta, now)
    }

    /** Merges a stop received from a peer. A stop for a move that is not configured yet is kept until the move is configured. */
    public fun mergeStop(stop: VersionStop) {
        val controller = controllers[stop.move.pool]
        if (controller?.id == stop.move) return controller.mergeStop(stop)
        pendingStops.putIfAbsent(stop.move, stop)
        if (pendingStops.size > MAX_PENDING_STOPS) pendingStops.remove(pendingStops.keys.first())
    }

    /** The store was restored from a copy and may have lost the newest records. */
    public fun onStoreRestored(): Unit = controllers.values.forEach { it.onStoreRestored() }

    /** Merges a record received from a peer or from a watch on the store. */
    public fun mergeStatus(status: MoveStatus) {
        controllers[status.move.pool]?.mergeStatus(status)
    }

    /** Handles the result of [MoveCommand.ReadStatus]: the stored record with its version, or nulls when there is none. */
    public fun onStatusRead(
        pool: PoolName,
        stored: MoveStatus?,
        version: ObjectVersion?,
    ) {
        controllers[pool]?.onStatusRead(stored, version)
    }

    /** Handles the result of [MoveCommand.WriteStatus]; [version] is null when the write failed or its response was lost. */
    public fun onStatusWritten(
        status: MoveStatus,
        version: ObjectVersion?,
    ) {
        controllers[status.move.pool]?.onStatusWritten(status, version)
    }

    override fun tick(
        now: Instant,
        lease: HeldLease?,
    ): List<MoveCommand> = tick(now, lease) { true }

    /** Like the other [tick], but a new version's share is not raised while [canCarryLoad] says that it has too few upstreams. */
    public fun tick(
        now: Instant,
        lease: HeldLease?,
        canCarryLoad: (PoolName) -> Boolean,
    ): List<MoveCommand> = controllers.values.flatMap { it.tick(now, lease, canCarryLoad(it.id.pool)) }

    override fun weights(now: Instant): Map<PoolName, VersionWeights> = controllers.mapValues { it.value.weights(now) }

    /** Records of all configured moves, for the state dump. */
    public fun statuses(): List<MoveStatus> = controllers.values.mapNotNull { it.status }

    /** Stops of all configured moves, for the state dump. */
    public fun stops(): List<VersionStop> = controllers.values.mapNotNull { it.stop }

    /** All evidence collected by this instance, for a peer that has just started. */
    public fun fullEvidence(): List<EvidenceDelta> = controllers.values.mapNotNull { it.evidence.fullDelta() }

    private companion object {
        val DEFAULT_EVIDENCE_INTERVAL: Duration = Duration.ofMillis(500)
        const val MAX_PENDING_STOPS = 64
    }
}
