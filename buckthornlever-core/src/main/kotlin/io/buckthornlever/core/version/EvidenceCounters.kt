package io.buckthornlever.core.version

/** Mutable counters behind one evidence row. */
internal class EvidenceCounters {
    var attempts = 0
        private set
    var failures = 0
        private set

    /** Attempts whose latency was counted. */
    var timedAttempts = 0
        private set
    val latencyCounts = IntArray(LatencyBuckets.COUNT)

    fun add(outcome: Outcome) {
        attempts++
        if (outcome.failed) {
            failures++
            return
        }
        if (!outcome.cold) addLatency(LatencyBuckets.indexOf(outcome.latency), 1)
    }

    /** Takes the larger value of each counter and adds what each grew by to [sum]; returns whether any changed. */
    fun mergeMaximum(
        row: EvidenceRow,
        sum: EvidenceCounters,
    ): Boolean {
        val moreRequests = maxOf(0, row.attempts - attempts)
        val moreErrors = maxOf(0, row.failures - failures)
        attempts += moreRequests
        failures += moreErrors
        sum.attempts += moreRequests
        sum.failures += moreErrors
        var changed = moreRequests + moreErrors > 0
        for (i in 0 until row.latencyPairs.size - 1 step 2) {
            val bucket = row.latencyPairs[i]
            if (bucket !in latencyCounts.indices || row.latencyPairs[i + 1] <= latencyCounts[bucket]) continue
            val more = row.latencyPairs[i + 1] - latencyCounts[bucket]
            addLatency(bucket, more)
            sum.addLatency(bucket, more)
            changed = true
        }
        return changed
    }

    /** Adds all counters of [other]. */
    fun addAll(other: EvidenceCounters) {
        attempts += other.attempts
        failures += other.failures
        for (i in latencyCounts.indices) addLatency(i, other.latencyCounts[i])
    }

    /** Timed attempts that took longer than [bucket]. */
    fun countSlowerThan(bucket: Int): Int {
        var count = 0
        for (i in bucket + 1 until latencyCounts.size) count += latencyCounts[i]
        return count
    }

    fun toRow(key: EvidenceKey): EvidenceRow {
        val pairs = latencyCounts.indices.filter { latencyCounts[it] > 0 }.flatMap { listOf(it, latencyCounts[it]) }
        return EvidenceRow(key, attempts, failures, pairs)
    }

    private fun addLatency(
        bucket: Int,
        count: Int,
    ) {
        latencyCounts[bucket] += count
        timedAttempts += count
    }
}
