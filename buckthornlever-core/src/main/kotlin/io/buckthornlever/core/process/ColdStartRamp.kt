package io.buckthornlever.core.process

import java.time.Duration

/**
 * Limit of one cold upstream over all entry instances. It follows the capacity that the upstream reports. Without reports it
 * doubles after each interval without refusals.
 */
internal class ColdStartRamp(
    private val coldConcurrency: Int,
    private val concurrency: Int,
    private val interval: Duration,
    startNanos: Long,
) {
    private var onReported = false
    private var nextStepNanos = startNanos + interval.toNanos()

    /** Requests that the upstream bears at once, over all entry instances. */
    var limit: Int = minOf(coldConcurrency, concurrency)
        private set

    /** True once the limit has reached the warm concurrency without reports. */
    val isFinished: Boolean get() = !onReported && limit >= concurrency

    fun onReported(capacity: Int) {
        onReported = true
        limit = capacity.coerceIn(0, concurrency)
    }

    /** A refusal says that the limit is too large now. */
    fun onRefused(nanos: Long) {
        limit = maxOf(minOf(1, coldConcurrency), limit / 2)
        nextStepNanos = nanos + interval.toNanos()
    }

    fun advance(nanos: Long) {
        while (!onReported && !isFinished && nanos >= nextStepNanos) {
            limit = minOf(concurrency, maxOf(1, limit * 2))
            nextStepNanos += interval.toNanos()
        }
    }
}
