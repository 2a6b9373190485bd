package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import java.time.Instant

/**
 * All version moves on one entry instance. Not thread-safe: the control loop owns it and publishes [weights].
 *
 * Any instance stops a bad version at once on its own or merged evidence; the new version's share grows only by the lease
 * holder's record.
 */
public class VersionMoves(
    private val self: InstanceId,
) : VersionRouting {
    private val machines = sortedMapOf<PoolName, MoveMachine>()
    private val earlyStops = LinkedHashMap<MoveId, VersionStop>()

    /** Takes over the moves of a new revision of the pool table. */
    public fun updateTable(table: PoolTable) {
        val moves = table.pools.mapNotNull { pool -> pool.move?.let { pool.name to it } }.toMap()
        machines.keys.retainAll(moves.keys)
        moves.forEach { (pool, move) ->
            val id = MoveId.of(pool, move)
            val machine = machines[pool]?.takeIf { it.id == id } ?: MoveMachine(self, id, move).also { machines[pool] = it }
            machine.reconfigure(move)
            earlyStops.remove(id)?.let(machine::mergeStop)
        }
    }

    override fun observe(
        outcome: Outcome,
        now: Instant,
    ) {
        machines[outcome.pool]?.evidence?.observe(outcome, now)
    }

    /** Merges a peer's evidence. */
    public fun mergeEvidence(
        delta: EvidenceDelta,
        now: Instant,
    ) {
        machines[delta.move.pool]?.evidence?.merge(delta, now)
    }

    /** Merges a peer's stop. One for a move that is not configured yet is kept for when it is. */
    public fun mergeStop(stop: VersionStop) {
        val machine = machines[stop.move.pool]
        if (machine?.id == stop.move) return machine.mergeStop(stop)
        earlyStops.putIfAbsent(stop.move, stop)
        if (earlyStops.size > MAX_EARLY_STOPS) earlyStops.remove(earlyStops.keys.first())
    }

    /** Merges a record that a peer or a watch delivered. */
    public fun mergeStatus(status: MoveStatus) {
        machines[status.move.pool]?.mergeStatus(status)
    }

    /** Result of [MoveCommand.ReadStatus]: the stored record with its version, or nulls when there is none. */
    public fun onStatusRead(
        pool: PoolName,
        stored: MoveStatus?,
        version: ObjectVersion?,
    ) {
        machines[pool]?.statusRead(stored, version)
    }

    /** Result of [MoveCommand.WriteStatus]; null for [version] when the write failed or its answer was lost. */
    public fun onStatusWritten(
        status: MoveStatus,
        version: ObjectVersion?,
    ) {
        machines[status.move.pool]?.statusWritten(status, version)
    }

    override fun tick(
        now: Instant,
        lease: HeldLease?,
    ): List<MoveCommand> = machines.values.flatMap { it.tick(now, lease) }

    override fun weights(now: Instant): Map<PoolName, VersionWeights> = machines.mapValues { it.value.weights(now) }

    /** Records of all configured moves, for the state dump. */
    public fun statuses(): List<MoveStatus> = machines.values.mapNotNull { it.status }

    /** Stops of all configured moves, for the state dump. */
    public fun stops(): List<VersionStop> = machines.values.mapNotNull { it.stop }

    /** All own evidence, for a peer that has just started. */
    public fun evidence(): List<EvidenceDelta> = machines.values.mapNotNull { it.evidence.full() }

    private companion object {
        const val MAX_EARLY_STOPS = 64
    }
}
