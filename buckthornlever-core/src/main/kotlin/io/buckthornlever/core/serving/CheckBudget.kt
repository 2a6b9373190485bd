package io.buckthornlever.core.serving

/**
 * Limits the checks that an instance makes to a share of the streams that it places, on average. Without a limit, checks at times of much
 * load add to the work of the upstreams and of the instance. Not thread-safe.
 */
internal class CheckBudget {
    private var credit = MAX_CREDIT / 2

    /** Factor by which a check must be of more use than usual, from 1 (full budget) to [MAX_SCARCITY]. */
    val scarcity: Double get() = 1 + (MAX_SCARCITY - 1) * (1 - credit / MAX_CREDIT)

    /** Records that a stream was placed, with or without checks. */
    fun onStreamPlaced() {
        credit = minOf(MAX_CREDIT, credit + CHECKS_PER_STREAM)
    }

    /** True if [count] checks are within the budget. */
    fun permits(count: Int): Boolean = credit >= count

    /** Takes [count] checks from the budget; returns false if it does not permit them. */
    fun take(count: Int): Boolean {
        if (!permits(count)) return false
        credit -= count
        return true
    }

    private companion object {
        const val CHECKS_PER_STREAM = 1.0

        /** Checks that may be saved up: those of some seconds. */
        const val MAX_CREDIT = 12.0

        /** Leaves the rest of a budget that is short to the largest prompts. */
        const val MAX_SCARCITY = 4.0
    }
}
