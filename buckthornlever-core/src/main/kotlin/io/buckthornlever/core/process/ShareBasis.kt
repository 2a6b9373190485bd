package io.buckthornlever.core.process

/**
 * Rank of an instance in the rendezvous order of one upstream under each membership view that counts.
 *
 * @property sizes number of members of each view; 0 for a view without this instance
 */
internal class ShareBasis(
    private val sizes: IntArray,
    private val ranks: IntArray,
) {
    /** Smallest share in [total] over all views. */
    fun share(total: Int): Int {
        if (sizes.isEmpty()) return 0
        var least = Int.MAX_VALUE
        for (i in sizes.indices) least = minOf(least, units(sizes[i], ranks[i], total))
        return least
    }

    private fun units(
        size: Int,
        rank: Int,
        total: Int,
    ): Int {
        if (size == 0) return 0
        return total / size + (if (rank < total % size) 1 else 0)
    }

    companion object {
        /** Basis of an instance that has no part in any limit. */
        val NONE: ShareBasis = ShareBasis(IntArray(0), IntArray(0))
    }
}
