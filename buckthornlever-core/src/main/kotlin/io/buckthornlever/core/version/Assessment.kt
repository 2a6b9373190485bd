package io.buckthornlever.core.version

/**
 * What the evidence says about the new version.
 *
 * @property badScore strongest evidence against it over all routes, windows and tests
 * @property worst test that gave [badScore], in words
 * @property decidedGood true when the evidence over all routes passed the bound for a good version
 * @property newRequests attempts of the new version in the longest windows
 * @property oldRequests attempts of the old version in the longest windows
 */
internal data class Assessment(
    val badScore: Double,
    val worst: String,
    val decidedGood: Boolean,
    val newRequests: Int,
    val oldRequests: Int,
) {
    val bad: Boolean get() = badScore >= SequentialTest.BAD_BOUND

    /** True when nothing speaks strongly enough against the new version to keep its share from growing. */
    val favourable: Boolean get() = badScore < SequentialTest.HOLD_BOUND

    companion object {
        val NONE = Assessment(0.0, "", decidedGood = false, newRequests = 0, oldRequests = 0)
    }
}
