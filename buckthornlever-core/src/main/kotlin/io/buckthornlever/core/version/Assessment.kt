package io.buckthornlever.core.version

/**
 * Result of the comparison of the new version with the old one.
 *
 * @property badScore strongest evidence against the new version over all routes, window lengths and tests, as a log-likelihood ratio
 * @property worstTest description of the test that gave [badScore]; empty when no test found evidence against the new version
 * @property isProvenGood true when the evidence over all routes reached [SequentialTest.GOOD_BOUND]
 * @property newAttempts attempts of the new version in the longest windows
 * @property oldAttempts attempts of the old version in the longest windows
 */
internal data class Assessment(
    val badScore: Double,
    val worstTest: String,
    val isProvenGood: Boolean,
    val newAttempts: Int,
    val oldAttempts: Int,
) {
    /** True when the evidence against the new version is strong enough to stop it. */
    val isBad: Boolean get() = badScore >= SequentialTest.BAD_BOUND

    /** True when the evidence against the new version is too weak to hold back its share or the completion of the move. */
    val allowsProgress: Boolean get() = badScore < SequentialTest.HOLD_BOUND

    companion object {
        val NONE = Assessment(0.0, "", isProvenGood = false, newAttempts = 0, oldAttempts = 0)
    }
}
