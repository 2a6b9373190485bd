package io.buckthornlever.core.version

/** Mutable counters behind one evidence row. */
internal class EvidenceCell {
    var requests = 0
        private set
    var errors = 0
        private set
    val latency = IntArray(LatencyBuckets.COUNT)

    /** Attempts whose latency was counted. */
    val timed: Int get() = latency.sum()

    fun add(outcome: Outcome) {
        requests++
        if (outcome.failed) {
            errors++
            return
        }
        if (!outcome.cold) latency[LatencyBuckets.indexOf(outcome.latency)]++
    }

    /** Takes the larger value of each counter; returns whether any changed. */
    fun mergeMaximum(row: EvidenceRow): Boolean {
        var changed = row.requests > requests || row.errors > errors
        requests = maxOf(requests, row.requests)
        errors = maxOf(errors, row.errors)
        row.latency.chunked(2).forEach { pair ->
            val bucket = pair[0]
            if (bucket !in latency.indices || pair.size < 2 || pair[1] <= latency[bucket]) return@forEach
            latency[bucket] = pair[1]
            changed = true
        }
        return changed
    }

    fun addAll(other: EvidenceCell) {
        requests += other.requests
        errors += other.errors
        for (i in latency.indices) latency[i] += other.latency[i]
    }

    fun toRow(key: EvidenceKey): EvidenceRow {
        val pairs = latency.indices.filter { latency[it] > 0 }.flatMap { listOf(it, latency[it]) }
        return EvidenceRow(key, requests, errors, pairs)
    }
}
