package io.buckthornlever.core.version

/** Mutable counters of one evidence row, or sums over several rows. */
internal class EvidenceCounters {
    var attempts = 0
        private set
    var failures = 0
        private set

    /** Number of attempts in [latencyCounts]. */
    var timedAttempts = 0
        private set

    /** Number of attempts per latency bucket, without failed attempts and those on cold upstreams. */
    val latencyCounts = IntArray(LatencyBuckets.COUNT)

    fun add(outcome: Outcome) {
        attempts++
        if (outcome.failed) {
            failures++
            return
        }
        if (!outcome.cold) addLatency(LatencyBuckets.indexOf(outcome.latency), 1)
    }

    /** Raises each counter to its value in [row] if that is larger and adds the increase to [sum]; returns whether any counter changed. */
    fun mergeMaximum(
        row: EvidenceRow,
        sum: EvidenceCounters,
    ): Boolean {
        val addedAttempts = maxOf(0, row.attempts - attempts)
        val addedFailures = maxOf(0, row.failures - failures)
        attempts += addedAttempts
        failures += addedFailures
        sum.attempts += addedAttempts
        sum.failures += addedFailures
        var changed = addedAttempts + addedFailures > 0
        for (i in 0 until row.latencyPairs.size - 1 step 2) {
            val bucket = row.latencyPairs[i]
            if (bucket !in latencyCounts.indices || row.latencyPairs[i + 1] <= latencyCounts[bucket]) continue
            val added = row.latencyPairs[i + 1] - latencyCounts[bucket]
            addLatency(bucket, added)
            sum.addLatency(bucket, added)
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

    /** Number of timed attempts in buckets above [bucket]. */
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
