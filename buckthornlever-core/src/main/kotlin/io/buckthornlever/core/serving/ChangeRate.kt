package io.buckthornlever.core.serving

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Learns how soon a quantity that many upstreams state stops telling about its present value. The expected value is the mean plus the
 * last deviation from it, weighted by `exp(-rate * age)`; the rate follows the errors of that expectation. Not thread-safe.
 *
 * @param initialMean mean before anything was stated; counts as much as [INITIAL_COUNT] values
 * @param initialPerSecond rate before anything was learned
 */
internal class ChangeRate(
    initialMean: Double,
    initialPerSecond: Double,
) {
    private var logPerSecond = ln(initialPerSecond)
    private var variance = 0.0
    private var count = 0

    /** Number of values that were observed. */
    val observed: Int get() = count

    /** Mean over the newest values of all upstreams. */
    var mean: Double = initialMean
        private set

    /** Rate at which the weight of a value falls, per second. */
    val perSecond: Double get() = exp(logPerSecond)

    /** Weight of a value that is [ageNanos] old, from 1 (new) to 0 (tells nothing). */
    fun weight(ageNanos: Long): Double = exp(-perSecond * maxOf(0L, ageNanos) / NANOS_PER_SECOND)

    /** Value to be expected [ageNanos] after [value] was stated. */
    fun expected(
        value: Double,
        ageNanos: Long,
    ): Double = mean + weight(ageNanos) * (value - mean)

    /** Standard deviation of the present value from [expected], [ageNanos] after a value was stated. */
    fun deviation(ageNanos: Long): Double {
        val weight = weight(ageNanos)
        return sqrt(variance * (1 - weight * weight))
    }

    /** Records that an upstream stated [value]; [previous] is what it stated [intervalNanos] before, null for its first value. */
    fun observe(
        value: Double,
        previous: Double?,
        intervalNanos: Long,
    ) {
        if (previous != null && intervalNanos >= MIN_INTERVAL_NANOS) learn(value, previous, intervalNanos)
        count++
        val share = maxOf(MIN_SHARE, 1.0 / (INITIAL_COUNT + count))
        mean += (value - mean) * share
        variance += ((value - mean) * (value - mean) - variance) * share
    }

    private fun learn(
        value: Double,
        previous: Double,
        intervalNanos: Long,
    ) {
        val seconds = intervalNanos / NANOS_PER_SECOND
        val deviation = previous - mean
        val error = value - expected(previous, intervalNanos)
        if (variance <= 0) return
        val influence = maxOf(MIN_INFLUENCE, weight(intervalNanos) * perSecond * seconds)
        val step = -LEARNING_RATE * error * deviation * influence / variance
        logPerSecond = (logPerSecond + step.coerceIn(-MAX_STEP, MAX_STEP)).coerceIn(MIN_LOG_PER_SECOND, MAX_LOG_PER_SECOND)
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val INITIAL_COUNT = 8

        /** Weight of the newest value in the mean, once there are enough of them. */
        const val MIN_SHARE = 0.01

        /** Values that follow each other sooner come from the same moment of the upstream. */
        const val MIN_INTERVAL_NANOS = 1_000_000L
        const val LEARNING_RATE = 0.1

        /** Lets the rate fall again when it is so high that the expectation no longer depends on it. */
        const val MIN_INFLUENCE = 0.02
        const val MAX_STEP = 0.3

        /** A weight that halves in 14 s: longer than the figures of an idle service are of use. */
        val MIN_LOG_PER_SECOND = ln(0.05)

        /** A weight that halves in 35 ms: the shortest time after which a figure can be acted on. */
        val MAX_LOG_PER_SECOND = ln(20.0)
    }
}
