package io.buckthornlever.core.version

/** Results of the old version on one route in one load state, with which the new version is compared. */
internal class Baseline(
    private val total: EvidenceCounters,
) {
    private val errorRate = (total.failures + PRIOR_RATE * PRIOR_WEIGHT) / (total.attempts + PRIOR_WEIGHT)
    private val slowBuckets: List<Int> = if (total.timedAttempts < MIN_TIMED_ATTEMPTS) emptyList() else QUANTILES.map(::quantileBucket)

    /** Whether there are enough latency samples of the old version for a comparison. */
    val hasLatency: Boolean get() = slowBuckets.isNotEmpty()

    /** Log-likelihood ratio for the new version failing more often than the old one. */
    fun errorEvidence(
        new: EvidenceCounters,
        sameWindow: List<EvidenceCounters>,
    ): Double {
        // Errors of both versions in the same window, such as those of a shared dependency, do not count against the new one.
        val concurrent = smoothedShare(sameWindow.sumOf { it.failures }, sameWindow.sumOf { it.attempts }, errorRate)
        val good = (maxOf(errorRate, concurrent) * TOLERANCE).coerceIn(MIN_ERROR_RATE, MAX_GOOD_SHARE)
        val bad = maxOf(good * BAD_ERROR_FACTOR, good + MIN_BAD_ERROR_INCREASE).coerceAtMost(MAX_BAD_ERROR_RATE)
        return SequentialTest.logLikelihoodRatio(new.failures, new.attempts, good, bad)
    }

    /** Log-likelihood ratio for the new version being slower at the quantile with index [quantile]; 0 when [hasLatency] is false. */
    fun latencyEvidence(
        new: EvidenceCounters,
        sameWindow: EvidenceCounters?,
        quantile: Int,
    ): Double {
        val bucket = slowBuckets.getOrNull(quantile) ?: return 0.0
        val overall = (total.countSlowerThan(bucket) + 1.0) / (total.timedAttempts + 2.0)
        val concurrent = sameWindow?.let { smoothedShare(it.countSlowerThan(bucket), it.timedAttempts, overall) } ?: overall
        val good = (maxOf(overall, concurrent) * TOLERANCE).coerceIn(MIN_SLOW_SHARE, MAX_GOOD_SHARE)
        val bad = good + (1 - good) * BAD_SLOW_SHARE_STEP
        return SequentialTest.logLikelihoodRatio(new.countSlowerThan(bucket), new.timedAttempts, good, bad)
    }

    private fun quantileBucket(quantile: Double): Int =
        (0 until LatencyBuckets.COUNT).first { total.countSlowerThan(it) <= (1 - quantile) * total.timedAttempts }

    private fun smoothedShare(
        hits: Int,
        trials: Int,
        overall: Double,
    ): Double = (hits + overall * SMOOTHING_WEIGHT) / (trials + SMOOTHING_WEIGHT)

    companion object {
        /** Quantiles of the old version's latency; a response in a bucket above that of the quantile counts as slow. */
        val QUANTILES: List<Double> = listOf(0.5, 0.9)

        private const val PRIOR_RATE = 0.005
        private const val PRIOR_WEIGHT = 50.0
        private const val SMOOTHING_WEIGHT = 20.0

        // Differences below 25 % are noise or come from a changed mix of requests.
        private const val TOLERANCE = 1.25
        private const val MIN_ERROR_RATE = 0.005
        private const val MAX_GOOD_SHARE = 0.75
        private const val MAX_BAD_ERROR_RATE = 0.95
        private const val BAD_ERROR_FACTOR = 4.0
        private const val MIN_BAD_ERROR_INCREASE = 0.05
        private const val MIN_SLOW_SHARE = 0.05
        private const val BAD_SLOW_SHARE_STEP = 0.6

        /** With fewer latency samples, the quantiles of the old version are too uncertain for a comparison. */
        private const val MIN_TIMED_ATTEMPTS = 40
    }
}
