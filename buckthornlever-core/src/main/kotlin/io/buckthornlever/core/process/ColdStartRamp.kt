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
    private var reported = false
    private var stepAt = startNanos + interval.toNanos()

    /** Requests that the upstream bears at once, over all entry instances. */
    var total: Int = minOf(coldConcurrency, concurrency)
        private set

    /** True once the limit has reached the warm concurrency without reports. */
    val finished: Boolean get() = !reported && total >= concurrency

    fun reported(capacity: Int) {
        reported = true
        total = capacity.coerceIn(0, concurrency)
    }

    /** A refusal says that the limit is too large now. */
    fun refused(nanos: Long) {
        total = maxOf(minOf(1, coldConcurrency), total / 2)
        stepAt = nanos + interval.toNanos()
    }

    fun advance(nanos: Long) {
        while (!reported && !finished && nanos >= stepAt) {
            total = minOf(concurrency, maxOf(1, total * 2))
            stepAt += interval.toNanos()
        }
    }
}
