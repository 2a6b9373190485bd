package io.buckthornlever.core.process.membership

/**
 * Chooses the member to probe. All instances shift the same ring by the same offset in each period of the wall clock, so that with
 * equal views each member is probed exactly once per period; independent random choice leaves 37% of members unprobed in a period.
 */
internal object ProbeRing {
    private const val MIX = -0x61c8864680b583ebL
    private const val SHIFT = 31

    /** Index among the [live] other members for [period], seen from [ownPosition]. */
    fun target(period: Long, ownPosition: Int, live: Int): Int {
        val offset = 1 + Math.floorMod(mix(period), live.toLong()).toInt()
        val ring = (ownPosition + offset) % (live + 1)
        return if (ring < ownPosition) ring else ring - 1
    }

    private fun mix(period: Long): Long {
        val product = (period + 1) * MIX
        return (product xor (product ushr SHIFT)) * MIX ushr 1
    }
}
