package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.version.VersionMove
import java.time.Instant

/**
 * Evidence of all instances about one move. Each instance writes only its own counters, and merging takes the maximum of each,
 * so that deltas may arrive repeatedly, late and in any order.
 */
internal class Evidence(
    private val self: InstanceId,
    private val id: MoveId,
    private val move: VersionMove,
) {
    private val slots = EvidenceSlots(Instant.parse(move.startAt), Instant.parse(move.dueAt))
    private val cells = HashMap<InstanceId, HashMap<EvidenceKey, EvidenceCell>>()
    private val changed = LinkedHashSet<EvidenceKey>()

    /** Grows with every change; lets readers skip an evaluation without news. */
    var revision = 0L
        private set

    fun observe(
        outcome: Outcome,
        now: Instant,
    ) {
        val isNew = outcome.version == move.to
        if (!isNew && outcome.version != move.from) return
        val own = cells.getOrPut(self) { HashMap() }
        if (own.keys.none { it.route == outcome.route } && own.keys.mapTo(HashSet()) { it.route }.size >= MAX_ROUTES) return
        slots.at(now).forEach { slot ->
            val key = EvidenceKey(outcome.route, isNew, outcome.underLoad, slot)
            own.getOrPut(key) { EvidenceCell() }.add(outcome)
            changed.add(key)
        }
        revision++
    }

    fun merge(
        delta: EvidenceDelta,
        now: Instant,
    ) {
        if (delta.move != id || delta.instance == self) return
        if (delta.instance !in cells && cells.size >= MAX_INSTANCES) return
        val theirs = cells.getOrPut(delta.instance) { HashMap() }
        delta.rows.filter { slots.retained(it.key.slot, now) }.forEach { row ->
            if (row.key !in theirs && theirs.size >= MAX_ROWS) return@forEach
            if (theirs.getOrPut(row.key) { EvidenceCell() }.mergeMaximum(row)) revision++
        }
    }

    /** Own rows that changed since the previous call, at most [limit] of them; the rest follows with the next call. */
    fun delta(limit: Int): EvidenceDelta? {
        val own = cells[self] ?: return null
        // The new version's rows go first: a stop depends on them, the old version's rows only sharpen the comparison.
        val keys = changed.sortedBy { if (it.newVersion) 0 else 1 }.take(limit)
        changed.removeAll(keys.toSet())
        val rows = keys.mapNotNull { key -> own[key]?.toRow(key) }
        return if (rows.isEmpty()) null else EvidenceDelta(self, id, rows)
    }

    /** All own rows, for a peer that has none. */
    fun full(): EvidenceDelta? = cells[self]?.let { own -> EvidenceDelta(self, id, own.map { (key, cell) -> cell.toRow(key) }) }

    /** Drops rows outside the kept windows. */
    fun prune(now: Instant) {
        cells.values.forEach { rows -> rows.keys.removeIf { !slots.retained(it.slot, now) } }
        changed.removeIf { !slots.retained(it.slot, now) }
    }

    /** Sums over instances. */
    fun totals(): Map<EvidenceKey, EvidenceCell> {
        val sums = HashMap<EvidenceKey, EvidenceCell>()
        cells.values.forEach { rows -> rows.forEach { (key, cell) -> sums.getOrPut(key) { EvidenceCell() }.addAll(cell) } }
        return sums
    }

    fun rowCount(): Int = cells.values.sumOf { it.size }

    companion object {
        const val MAX_ROUTES = 16
        const val MAX_INSTANCES = 256

        // Routes, two versions, two load states and all kept windows.
        const val MAX_ROWS = MAX_ROUTES * 4 * (EvidenceSlots.FINE_KEPT + EvidenceSlots.COARSE_KEPT + 4)
    }
}
