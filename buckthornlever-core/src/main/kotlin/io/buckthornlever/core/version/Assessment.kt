package io.buckthornlever.core.version

/**
 * What the evidence says about the new version.
 *
 * @property badScore strongest evidence against it over all routes, windows and tests
 * @property worstTest test that gave [badScore], in words
 * @property isProvenGood true when the evidence over all routes passed the bound for a good version
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
    val isBad: Boolean get() = badScore >= SequentialTest.BAD_BOUND

    /** True when nothing speaks strongly enough against the new version to keep its share from growing. */
    val allowsProgress: Boolean get() = badScore < SequentialTest.HOLD_BOUND

    companion object {
        val NONE = Assessment(0.0, "", isProvenGood = false, newAttempts = 0, oldAttempts = 0)
    }
}
