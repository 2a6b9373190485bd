package io.buckthornlever.core.serving

import kotlin.math.abs
import kotlin.math.sqrt

/**
 * Learns how long the upstreams of one service take to the first event of a stream, as a sum of a time for each prompt token that is
 * read first, a time for the share of the slots that are taken, and a constant. Recursive least squares with forgetting; the
 * coefficients start at a prior and stay within bounds, so that a few odd times cannot turn the choice around. Not thread-safe.
 */
internal class PromptPace {
    private val coefficients = doubleArrayOf(INITIAL_MILLIS_PER_TOKEN * TOKENS, LOAD_MILLIS, 0.0)
    private val covariance =
        Array(SIZE) { row -> DoubleArray(SIZE) { column -> if (row == column) INITIAL_DEVIATIONS[row] * INITIAL_DEVIATIONS[row] else 0.0 } }
    private var noise = INITIAL_NOISE_MILLIS * INITIAL_NOISE_MILLIS

    /** True once a time to a first event is known. */
    var isLearned: Boolean = false
        private set

    /** Time for a prompt token in milliseconds. */
    val millisPerToken: Double get() = coefficients[0] / TOKENS

    /** Time in milliseconds that an upstream with all slots taken takes beyond that of an idle one. */
    val millisPerSlots: Double get() = coefficients[1]

    /** Time in milliseconds before an upstream with [tokens] prompt tokens ahead, and [loadShare] of its slots taken, reads the next. */
    fun waitMillis(
        tokens: Double,
        loadShare: Double,
    ): Double = maxOf(0.0, coefficients[0] * tokens / TOKENS + coefficients[1] * loadShare)

    /** Time in milliseconds to the first event after the last prompt token ahead, at an idle upstream. */
    val constantMillis: Double get() = coefficients[2]

    /** Records that a first event took [millis] of an upstream at its usual pace, with [tokens] to read and [loadShare] taken before. */
    fun observe(
        tokens: Double,
        loadShare: Double,
        millis: Double,
    ) {
        val features = doubleArrayOf(tokens / TOKENS, loadShare, 1.0)
        for (i in 0 until SIZE) covariance[i][i] += DRIFTS[i] * DRIFTS[i]
        val projected = DoubleArray(SIZE) { row -> (0 until SIZE).sumOf { covariance[row][it] * features[it] } }
        val variance = (0 until SIZE).sumOf { features[it] * projected[it] } + noise
        val limit = MAX_DEVIATIONS * sqrt(variance)
        val error = (millis - (0 until SIZE).sumOf { coefficients[it] * features[it] }).coerceIn(-limit, limit)
        for (row in 0 until SIZE) {
            coefficients[row] = (coefficients[row] + projected[row] / variance * error).coerceIn(MINIMA[row], MAXIMA[row])
            for (column in 0 until SIZE) covariance[row][column] -= projected[row] * projected[column] / variance
        }
        noise += NOISE_SHARE * (maxOf(abs(error), MIN_NOISE_MILLIS).let { it * it } - noise)
        isLearned = true
    }

    companion object {
        /** Time for a prompt token until one is learned; the order of magnitude of current accelerators. */
        const val INITIAL_MILLIS_PER_TOKEN = 1 / 60.0

        /** Additional wait at an upstream with all slots taken, compared with an idle one, in milliseconds. */
        const val LOAD_MILLIS = 300.0
        private const val SIZE = 3

        /** Unit of prompt tokens that keeps the coefficients in one order of magnitude. */
        private const val TOKENS = 1_000.0
        private val INITIAL_DEVIATIONS = doubleArrayOf(8.0, 200.0, 20.0)

        /** What the coefficients may change by between two times; lets them follow new hardware or load within some hundred streams. */
        private val DRIFTS = doubleArrayOf(0.1, 3.0, 0.3)
        private val MINIMA = doubleArrayOf(2.0, 30.0, 0.0)
        private val MAXIMA = doubleArrayOf(300.0, 3_000.0, 300.0)
        private const val INITIAL_NOISE_MILLIS = 80.0
        private const val MIN_NOISE_MILLIS = 5.0
        private const val NOISE_SHARE = 0.02
        private const val MAX_DEVIATIONS = 3.0
    }
}
