package io.buckthornlever.core.version

import kotlin.math.ln

/** Wald's sequential probability ratio test (SPRT) on the proportion of hits, such as errors or slow responses, among trials. */
internal object SequentialTest {
    /**
     * Log-likelihood ratio from which on a version counts as bad and is stopped. A move evaluates dozens of tests on up to 100,000
     * requests; with a likelihood ratio of e^14, fewer than 1 in 100 moves to a good version are stopped by chance.
     */
    const val BAD_BOUND = 14.0

    /** Log-likelihood ratio down to which a version counts as good: ln(0.01), an error probability of 1 in 100. */
    const val GOOD_BOUND = -4.6

    /** Log-likelihood ratio from which on the new version's share is not raised. */
    const val HOLD_BOUND = 6.0

    /** Log-likelihood ratio of proportion [bad] to proportion [good], given [hits] in [trials]; positive values speak for [bad]. */
    fun logLikelihoodRatio(
        hits: Int,
        trials: Int,
        good: Double,
        bad: Double,
    ): Double = hits * ln(bad / good) + (trials - hits) * ln((1 - bad) / (1 - good))
}
