package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.version.VersionLabel
import java.time.Duration
import java.time.Instant

/**
 * Evidence of all instances about one move. Each instance writes only its own counters, and merging takes the maximum of each,
 * so that deltas may arrive repeatedly, late and in any order.
 */
internal class Evidence(
    private val self: InstanceId,
    private val id: MoveId,
) {
    private val start = Instant.parse(id.startAt)
    private val from = VersionLabel(id.from)
    private val to = VersionLabel(id.to)
    private val countersByInstance = HashMap<InstanceId, HashMap<EvidenceKey, EvidenceCounters>>()
    private val changedKeys = LinkedHashSet<EvidenceKey>()
    private val ownRoutes = HashSet<RouteName>()
    private var prunedAtSecond = -PRUNE_SECONDS
    private val sums = HashMap<EvidenceKey, EvidenceCounters>()

    /** Grows with every change; lets readers skip an evaluation without news. */
    var revision = 0L
        private set

    /** Sums over all instances; valid until the next change. */
    val totals: Map<EvidenceKey, EvidenceCounters> get() = sums

    /** Rows kept over all instances. */
    val rowCount: Int get() = countersByInstance.values.sumOf { it.size }

    fun observe(
        outcome: Outcome,
        now: Instant,
    ) {
        val isNew = outcome.version == to
        if (!isNew && outcome.version != from) return
        val own = countersByInstance.getOrPut(self) { HashMap() }
        if (outcome.route !in ownRoutes && ownRoutes.size >= MAX_ROUTES) return
        ownRoutes.add(outcome.route)
        EvidenceWindows.windowsAt(elapsed(now)).forEach { slot ->
            val key = EvidenceKey(outcome.route, isNew, outcome.underLoad, slot)
            own.getOrPut(key) { EvidenceCounters() }.add(outcome)
            sums.getOrPut(key) { EvidenceCounters() }.add(outcome)
            changedKeys.add(key)
        }
        revision++
    }

    fun merge(
        delta: EvidenceDelta,
        now: Instant,
    ) {
        if (delta.move != id || delta.instance == self) return
        if (delta.instance !in countersByInstance && countersByInstance.size >= MAX_INSTANCES) return
        val rows = EvidenceCodec.decode(delta.values, delta.routes) ?: return
        val theirs = countersByInstance.getOrPut(delta.instance) { HashMap() }
        val elapsed = elapsed(now)
        rows.filter { EvidenceWindows.isRetained(it.key.window, elapsed) }.forEach { row ->
            if (row.key !in theirs && theirs.size >= MAX_ROWS) return@forEach
            val sum = sums.getOrPut(row.key) { EvidenceCounters() }
            if (theirs.getOrPut(row.key) { EvidenceCounters() }.mergeMaximum(row, sum)) revision++
        }
    }

    /** Own rows that changed since the previous call, at most [limit] of them; the rest follows with the next call. */
    fun nextDelta(limit: Int): EvidenceDelta? {
        val own = countersByInstance[self] ?: return null
        // The new version's rows go first: a stop depends on them, the old version's rows only sharpen the comparison.
        val keys = changedKeys.sortedBy { if (it.isNewVersion) 0 else 1 }.take(limit)
        changedKeys.removeAll(keys.toSet())
        return encode(keys.mapNotNull { key -> own[key]?.toRow(key) })
    }

    /** All own rows, for a peer that has none. */
    fun fullDelta(): EvidenceDelta? = encode(countersByInstance[self].orEmpty().map { (key, cell) -> cell.toRow(key) })

    /** Attempts of the old and the new version that ended in the complete short windows from [since] on. */
    fun attemptsSince(since: Instant): Pair<Int, Int> {
        val first = EvidenceWindows.indexAt(elapsed(since), EvidenceWindows.LENGTHS_SECONDS.first()) + 1
        val recent = sums.filterKeys { it.window.lengthSeconds == EvidenceWindows.LENGTHS_SECONDS.first() && it.window.index >= first }
        val (new, old) = recent.entries.partition { it.key.isNewVersion }
        return old.sumOf { it.value.attempts } to new.sumOf { it.value.attempts }
    }

    /** Drops rows outside the kept windows. */
    fun prune(now: Instant) {
        val elapsed = elapsed(now)
        if (elapsed.seconds < prunedAtSecond + PRUNE_SECONDS) return
        prunedAtSecond = elapsed.seconds
        val drop = { key: EvidenceKey -> !EvidenceWindows.isRetained(key.window, elapsed) }
        countersByInstance.values.forEach { it.keys.removeIf(drop) }
        sums.keys.removeIf(drop)
        changedKeys.removeIf(drop)
    }

    private fun elapsed(now: Instant): Duration = Duration.between(start, now)

    private fun encode(rows: List<EvidenceRow>): EvidenceDelta? {
        if (rows.isEmpty()) return null
        val routes = EvidenceCodec.distinctRoutes(rows)
        return EvidenceDelta(self, id, routes, EvidenceCodec.encode(rows, routes))
    }

    companion object {
        private const val PRUNE_SECONDS = 4L
        const val MAX_ROUTES = 16
        const val MAX_INSTANCES = 256

        /** Routes, two versions, two load states, and all kept windows with those that a fast clock opens early. */
        const val MAX_ROWS = MAX_ROUTES * 4 * 3 * (EvidenceWindows.KEPT_PER_LEVEL + 8)
    }
}
