package io.buckthornlever.core.version

/** Mutable counters behind one evidence row. */
internal class EvidenceCell {
    var requests = 0
        private set
    var errors = 0
        private set

    /** Attempts whose latency was counted. */
    var timed = 0
        private set
    val latency = IntArray(LatencyBuckets.COUNT)

    fun add(outcome: Outcome) {
        requests++
        if (outcome.failed) {
            errors++
            return
        }
        if (!outcome.cold) grow(LatencyBuckets.indexOf(outcome.latency), 1)
    }

    /** Takes the larger value of each counter and adds what each grew by to [sum]; returns whether any changed. */
    fun mergeMaximum(
        row: EvidenceRow,
        sum: EvidenceCell,
    ): Boolean {
        val moreRequests = maxOf(0, row.requests - requests)
        val moreErrors = maxOf(0, row.errors - errors)
        requests += moreRequests
        errors += moreErrors
        sum.requests += moreRequests
        sum.errors += moreErrors
        var changed = moreRequests + moreErrors > 0
        for (i in 0 until row.latency.size - 1 step 2) {
            val bucket = row.latency[i]
            if (bucket !in latency.indices || row.latency[i + 1] <= latency[bucket]) continue
            val more = row.latency[i + 1] - latency[bucket]
            grow(bucket, more)
            sum.grow(bucket, more)
            changed = true
        }
        return changed
    }

    /** Adds all counters of [other]. */
    fun addAll(other: EvidenceCell) {
        requests += other.requests
        errors += other.errors
        for (i in latency.indices) grow(i, other.latency[i])
    }

    /** Timed attempts that took longer than [bucket]. */
    fun slowerThan(bucket: Int): Int {
        var count = 0
        for (i in bucket + 1 until latency.size) count += latency[i]
        return count
    }

    fun toRow(key: EvidenceKey): EvidenceRow {
        val pairs = latency.indices.filter { latency[it] > 0 }.flatMap { listOf(it, latency[it]) }
        return EvidenceRow(key, requests, errors, pairs)
    }

    private fun grow(
        bucket: Int,
        by: Int,
    ) {
        latency[bucket] += by
        timed += by
    }
}
