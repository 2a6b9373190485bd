package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.version.MoveId
import io.buckthornlever.api.version.VersionLabel
import java.time.Duration
import java.time.Instant

/**
 * Evidence about one move, collected by all instances. Each instance increments only its own counters, and merging takes the maximum of
 * each counter (a grow-only counter CRDT), so that deltas may arrive repeatedly, late and in any order.
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

    /** Incremented by every change; lets readers skip an evaluation when nothing has changed. */
    var revision = 0L
        private set

    /** Sums over all instances; valid until the next change. */
    val totals: Map<EvidenceKey, EvidenceCounters> get() = sums

    /** Number of rows kept for all instances together. */
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
        EvidenceWindows.windowsAt(elapsed(now)).forEach { window ->
            val key = EvidenceKey(outcome.route, isNew, outcome.underLoad, window)
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
        val peerCounters = countersByInstance.getOrPut(delta.instance) { HashMap() }
        val elapsed = elapsed(now)
        rows.filter { EvidenceWindows.isRetained(it.key.window, elapsed) }.forEach { row ->
            if (row.key !in peerCounters && peerCounters.size >= MAX_ROWS) return@forEach
            val sum = sums.getOrPut(row.key) { EvidenceCounters() }
            if (peerCounters.getOrPut(row.key) { EvidenceCounters() }.mergeMaximum(row, sum)) revision++
        }
    }

    /** Returns own rows that changed since the previous call, at most [limit] of them; the rest follows with the next call. */
    fun nextDelta(limit: Int): EvidenceDelta? {
        val own = countersByInstance[self] ?: return null
        // The new version's rows go first: a stop depends on them, while the old version's rows only make the comparison more precise.
        val keys = changedKeys.sortedBy { if (it.isNewVersion) 0 else 1 }.take(limit)
        changedKeys.removeAll(keys.toSet())
        return encode(keys.mapNotNull { key -> own[key]?.toRow(key) })
    }

    /** Returns all own rows, for a peer that has none of them yet. */
    fun fullDelta(): EvidenceDelta? = encode(countersByInstance[self].orEmpty().map { (key, counters) -> counters.toRow(key) })

    /** Attempts of the old and of the new version, in this order, in the shortest windows that start after [since]. */
    fun attemptsSince(since: Instant): Pair<Int, Int> {
        val first = EvidenceWindows.indexAt(elapsed(since), EvidenceWindows.LENGTHS_SECONDS.first()) + 1
        val recent = sums.filterKeys { it.window.lengthSeconds == EvidenceWindows.LENGTHS_SECONDS.first() && it.window.index >= first }
        val (new, old) = recent.entries.partition { it.key.isNewVersion }
        return old.sumOf { it.value.attempts } to new.sumOf { it.value.attempts }
    }

    /** Drops rows whose windows are no longer kept. */
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

        /**
         * Rows kept per instance: routes, times two versions and two load states, times three window lengths, times the kept windows
         * including those that a fast clock opens early.
         */
        const val MAX_ROWS = MAX_ROUTES * 4 * 3 * (EvidenceWindows.KEPT_PER_LEVEL + 8)
    }
}
