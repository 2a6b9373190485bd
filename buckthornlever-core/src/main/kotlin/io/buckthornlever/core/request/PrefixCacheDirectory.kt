package io.buckthornlever.core.request

import io.buckthornlever.core.process.UpstreamRuntime

/**
 * Records which upstream has reported a prefix block as cached. A direct-mapped table of fixed size: a collision evicts the
 * older entry, which is harmless because the entries only refine the order given by hashing.
 */
internal class PrefixCacheDirectory {
    private val blocks = LongArray(TABLE_SIZE)
    private val holders = arrayOfNulls<UpstreamRuntime>(TABLE_SIZE)

    /** Keeps the first holder until it evicts the block, so that a request sent elsewhere for lack of capacity does not move the prefix. */
    fun recordStored(
        block: Long,
        upstream: UpstreamRuntime,
    ) {
        val at = slot(block)
        if (blocks[at] == block && holders[at] != null) return
        blocks[at] = block
        holders[at] = upstream
    }

    fun recordEvicted(
        block: Long,
        upstream: UpstreamRuntime,
    ) {
        val at = slot(block)
        if (blocks[at] == block && holders[at] === upstream) holders[at] = null
    }

    /** The upstream that holds [block] according to cache events, or null. */
    fun holder(block: Long): UpstreamRuntime? {
        val at = slot(block)
        return if (blocks[at] == block) holders[at] else null
    }

    /** Removes all entries of [upstream], for example after it lost its cache. */
    fun removeUpstream(upstream: UpstreamRuntime) {
        for (i in holders.indices) if (holders[i] === upstream) holders[i] = null
    }

    private fun slot(block: Long): Int = (Hashing.mix(block) and (TABLE_SIZE - 1L)).toInt()

    private companion object {
        const val TABLE_SIZE = 1 shl 14
    }
}
