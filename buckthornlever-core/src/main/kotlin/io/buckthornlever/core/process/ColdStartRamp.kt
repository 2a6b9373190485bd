package io.buckthornlever.core.process

import java.time.Duration

/**
 * Concurrency limit of one cold upstream over all entry instances. It follows the capacity that the upstream reports; without
 * reports it doubles after each [interval] without refusals.
 */
internal class ColdStartRamp(
    private val coldConcurrency: Int,
    private val concurrency: Int,
    private val interval: Duration,
    startNanos: Long,
) {
    private var hasReports = false
    private var nextStepNanos = startNanos + interval.toNanos()

    /** Concurrent requests that the upstream may have, over all entry instances. */
    var limit: Int = minOf(coldConcurrency, concurrency)
        private set

    /** True once the limit has reached the warm concurrency, provided that the upstream never reported its load. */
    val isFinished: Boolean get() = !hasReports && limit >= concurrency

    fun onReported(capacity: Int) {
        hasReports = true
        limit = capacity.coerceIn(0, concurrency)
    }

    /** Halves the limit, since a refusal shows that it is too large, and restarts the interval. */
    fun onRefused(nanos: Long) {
        limit = maxOf(minOf(1, coldConcurrency), limit / 2)
        nextStepNanos = nanos + interval.toNanos()
    }

    fun advance(nanos: Long) {
        while (!hasReports && !isFinished && nanos >= nextStepNanos) {
            limit = minOf(concurrency, maxOf(1, limit * 2))
            nextStepNanos += interval.toNanos()
        }
    }
}
