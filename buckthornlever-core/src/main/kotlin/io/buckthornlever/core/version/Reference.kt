package io.buckthornlever.core.version

/** Old version's results on one route in one load state, against which the new version is compared. */
internal class Reference(
    private val total: EvidenceCell,
) {
    private val errorRate = (total.errors + PRIOR_RATE * PRIOR_WEIGHT) / (total.requests + PRIOR_WEIGHT)
    private val boundaries: List<Int> = if (total.timed < MIN_TIMED) emptyList() else QUANTILES.map(::boundary)

    /** Whether the old version's latency is known well enough to compare with. */
    val hasLatency: Boolean get() = boundaries.isNotEmpty()

    /** Evidence that the new version fails more often than the old one. */
    fun errors(
        new: EvidenceCell,
        sameWindow: List<EvidenceCell>,
    ): Double {
        // A fault that both versions have in the same window, such as a shared dependency, does not count against the new one.
        val nearby = blend(sameWindow.sumOf { it.errors }, sameWindow.sumOf { it.requests }, errorRate)
        val good = (maxOf(errorRate, nearby) * TOLERANCE).coerceIn(MIN_ERROR_RATE, MAX_GOOD)
        val bad = maxOf(good * ERROR_FACTOR, good + ERROR_STEP).coerceAtMost(MAX_BAD)
        return SequentialTest.ratio(new.errors, new.requests, good, bad)
    }

    /** Evidence that the new version is slower at the quantile with number [quantile]; 0 without a reference. */
    fun latency(
        new: EvidenceCell,
        sameWindow: EvidenceCell?,
        quantile: Int,
    ): Double {
        val bucket = boundaries.getOrNull(quantile) ?: return 0.0
        val usual = (total.slowerThan(bucket) + 1.0) / (total.timed + 2.0)
        val nearby = sameWindow?.let { blend(it.slowerThan(bucket), it.timed, usual) } ?: usual
        val good = (maxOf(usual, nearby) * TOLERANCE).coerceIn(MIN_SLOW_SHARE, MAX_GOOD)
        val bad = good + (1 - good) * SLOW_STEP
        return SequentialTest.ratio(new.slowerThan(bucket), new.timed, good, bad)
    }

    private fun boundary(quantile: Double): Int =
        (0 until LatencyBuckets.COUNT).first { total.slowerThan(it) <= (1 - quantile) * total.timed }

    private fun blend(
        hits: Int,
        trials: Int,
        usual: Double,
    ): Double = (hits + usual * BLEND_WEIGHT) / (trials + BLEND_WEIGHT)

    companion object {
        /** Quantiles of the old version whose latency bucket is the limit of a slow response. */
        val QUANTILES: List<Double> = listOf(0.5, 0.9)

        private const val PRIOR_RATE = 0.005
        private const val PRIOR_WEIGHT = 50.0
        private const val BLEND_WEIGHT = 20.0

        // Differences below a quarter are noise or a changed mix of requests.
        private const val TOLERANCE = 1.25
        private const val MIN_ERROR_RATE = 0.005
        private const val MAX_GOOD = 0.75
        private const val MAX_BAD = 0.95
        private const val ERROR_FACTOR = 4.0
        private const val ERROR_STEP = 0.05
        private const val MIN_SLOW_SHARE = 0.05
        private const val SLOW_STEP = 0.6

        /** Below this count the old version's quantiles are too uncertain to compare with. */
        private const val MIN_TIMED = 40
    }
}
