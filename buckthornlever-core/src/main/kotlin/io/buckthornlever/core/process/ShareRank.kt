package io.buckthornlever.core.process

/**
 * Rank of an instance in the rendezvous order of one upstream.
 *
 * @property members number of instances among which limits are divided; 0 when this instance has no share
 * @property rank zero-based rank of this instance
 */
internal class ShareRank(
    private val members: Int,
    private val rank: Int,
) {
    /** Units of a limit of [total] that belong to this instance. */
    fun share(total: Int): Int {
        if (members == 0) return 0
        return total / members + (if (rank < total % members) 1 else 0)
    }

    companion object {
        /** Rank of an instance that has no share of any limit. */
        val NONE: ShareRank = ShareRank(0, 0)
    }
}
