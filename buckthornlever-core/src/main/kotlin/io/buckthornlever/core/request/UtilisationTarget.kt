package io.buckthornlever.core.request

/**
 * Utilisation up to which a tier is filled before the next, more expensive one is used. It adapts to the observed times to first
 * byte so that 95 of 100 meet the latency target: a miss lowers it by 19 times the step by which a hit raises it.
 */
internal class UtilisationTarget(
    private val firstByteTargetNanos: Long,
) {
    /** Current target, a fraction of the capacity between [MIN] and [MAX]. */
    var value: Double = INITIAL
        private set

    fun observe(
        firstByteNanos: Long,
        utilisation: Double,
    ) {
        if (firstByteNanos > firstByteTargetNanos) {
            value = maxOf(MIN, value - MISS_STEP)
        } else if (utilisation * 2 >= value) {
            value = minOf(MAX, value + HIT_STEP)
        }
    }

    companion object {
        const val MIN: Double = 0.3
        const val MAX: Double = 0.9
        private const val INITIAL = 0.7
        private const val HIT_STEP = 0.001
        private const val MISS_STEP = 19 * HIT_STEP
    }
}
