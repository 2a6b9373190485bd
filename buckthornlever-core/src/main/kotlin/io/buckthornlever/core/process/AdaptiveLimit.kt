package io.buckthornlever.core.process

/**
 * Adaptive concurrency limit (AIMD) on this instance's requests in flight at one upstream. It grows by about one per round of
 * answers while at least half of it is in use, and shrinks by a factor when the upstream refuses a request or when the recent
 * time to first byte is far above the baseline.
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

    /** Number of requests that may be in flight; at least 1, since a limit of 0 would never observe a recovery. */
    val current: Int get() = limit.toInt()

    /** True when the recent time to first byte exceeds the baseline by more than [SLOW_RATIO]. */
    val isSlow: Boolean get() = samples >= MIN_SAMPLES && recentLatency > SLOW_RATIO * baselineLatency

    fun resize(maximum: Int) {
        val wasAtMaximum = limit >= max
        max = maxOf(1, maximum).toDouble()
        limit = if (wasAtMaximum) max else minOf(limit, max)
    }

    fun onRefused(nanos: Long): Unit = decrease(REFUSED_FACTOR, nanos)

    /** Records the time to first byte of one answer; [inFlight] is the number of requests in flight when it arrived. */
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

        /**
         * Ratio of recent to baseline latency above which the upstream counts as slow. Prompt lengths within a route differ by
         * more than a factor of two, but averages over ten answers rarely do.
         */
        const val SLOW_RATIO = 3.0

        /** Minimum time between two decreases: a burst of refusals has one cause and must shrink the limit only once. */
        const val DECREASE_INTERVAL_NANOS = 500_000_000L
    }
}
