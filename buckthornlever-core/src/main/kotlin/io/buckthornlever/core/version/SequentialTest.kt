package io.buckthornlever.core.version

import kotlin.math.ln

/** Wald's sequential probability ratio test for the share of hits, such as errors or slow responses. */
internal object SequentialTest {
    /**
     * Evidence of a bad version at which it is stopped. A move evaluates some dozens of tests on up to 100,000 requests; with a
     * ratio of e^14 fewer than 1 in 100 good moves is stopped by chance.
     */
    const val BAD_BOUND = 14.0

    /** Evidence of a good version at which the first decision is taken: 1 error in 100. */
    const val GOOD_BOUND = -4.6

    /** Evidence against the new version from which on its share does not grow. */
    const val HOLD_BOUND = 6.0

    /** Logarithm of the likelihood ratio of share [bad] to share [good] after [hits] of [trials]. */
    fun logLikelihoodRatio(
        hits: Int,
        trials: Int,
        good: Double,
        bad: Double,
    ): Double = hits * ln(bad / good) + (trials - hits) * ln((1 - bad) / (1 - good))
}
