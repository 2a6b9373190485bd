package io.buckthornlever.core.process.membership

/**
 * Chooses the member to probe. All instances shift the same ring by the same offset in each period of the wall clock, so that with
 * equal views each member is probed exactly once per period; independent random choice leaves 37% of members unprobed in a period.
 */
internal object ProbeRing {
    private const val HASH_MULTIPLIER = -0x61c8864680b583ebL
    private const val HASH_SHIFT = 31

    /** Index among the [liveCount] other live members of the one that the instance at [ownPosition] probes in [period]. */
    fun target(period: Long, ownPosition: Int, liveCount: Int): Int {
        val offset = 1 + Math.floorMod(hash(period), liveCount.toLong()).toInt()
        val ring = (ownPosition + offset) % (liveCount + 1)
        return if (ring < ownPosition) ring else ring - 1
    }

    private fun hash(period: Long): Long {
        val product = (period + 1) * HASH_MULTIPLIER
        return (product xor (product ushr HASH_SHIFT)) * HASH_MULTIPLIER ushr 1
    }
}
