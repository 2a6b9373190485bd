package io.buckthornlever.core.process

/**
 * Limit on this instance's requests in flight at one upstream. It grows by about one per round of answers while it is in
 * use, and shrinks by a factor when the upstream refuses or when first bytes become much later than usual.
 */
internal class AdaptiveLimit(
    maximum: Int,
) {
    private var max = maxOf(1, maximum).toDouble()
    private var limit = max
    private var recentLatency = 0.0
    private var baselineLatency = 0.0
    private var samples = 0
    private var nextDecreaseNanos = Long.MIN_VALUE

    /** Requests in flight that are allowed; at least 1, so that recovery is noticed. */
    val current: Int get() = limit.toInt()

    /** True when first bytes are later than usual by more than the tolerance. */
    val isSlow: Boolean get() = samples >= MIN_SAMPLES && recentLatency > SLOW_RATIO * baselineLatency

    fun resize(maximum: Int) {
        val wasFull = limit >= max
        max = maxOf(1, maximum).toDouble()
        limit = if (wasFull) max else minOf(limit, max)
    }

    fun onRefused(nanos: Long): Unit = decrease(REFUSED_FACTOR, nanos)

    /** Takes the time to first byte of one answer, with the requests in flight when it arrived. */
    fun onAnswered(
        firstByteNanos: Long,
        inFlight: Int,
        nanos: Long,
    ) {
        observe(firstByteNanos.toDouble())
        if (isSlow) {
            decrease(SLOW_FACTOR, nanos)
        } else if (2 * inFlight >= limit) {
            limit = minOf(max, limit + 1 / limit)
        }
    }

    private fun observe(value: Double) {
        samples++
        if (samples == 1) {
            recentLatency = value
            baselineLatency = value
            return
        }
        recentLatency += (value - recentLatency) * RECENT_WEIGHT
        baselineLatency += (value - baselineLatency) * maxOf(BASELINE_WEIGHT, 1.0 / samples)
    }

    private fun decrease(
        factor: Double,
        nanos: Long,
    ) {
        if (nanos < nextDecreaseNanos) return
        limit = maxOf(1.0, limit * factor)
        nextDecreaseNanos = nanos + DECREASE_INTERVAL_NANOS
    }

    private companion object {
        const val REFUSED_FACTOR = 0.7
        const val SLOW_FACTOR = 0.9
        const val RECENT_WEIGHT = 0.1
        const val BASELINE_WEIGHT = 0.002
        const val MIN_SAMPLES = 20

        /** Prompt lengths differ by more than a factor of two within a route; averages of ten rarely do. */
        const val SLOW_RATIO = 3.0

        /** A burst of refusals has one cause and must not shrink the limit several times. */
        const val DECREASE_INTERVAL_NANOS = 500_000_000L
    }
}
