package io.buckthornlever.core.request

import io.buckthornlever.core.process.UpstreamRuntime

/**
 * Remembers which upstream reported to hold a prefix block. Bounded and direct-mapped: a collision forgets the older entry,
 * which is harmless because the entries only correct the order given by hashing.
 */
internal class CacheDirectory {
    private val blocks = LongArray(SIZE)
    private val holders = arrayOfNulls<UpstreamRuntime>(SIZE)

    /** The first holder stays on record until it evicts the block, so that a spill does not move the prefix. */
    fun stored(
        block: Long,
        upstream: UpstreamRuntime,
    ) {
        val at = slot(block)
        if (blocks[at] == block && holders[at] != null) return
        blocks[at] = block
        holders[at] = upstream
    }

    fun evicted(
        block: Long,
        upstream: UpstreamRuntime,
    ) {
        val at = slot(block)
        if (blocks[at] == block && holders[at] === upstream) holders[at] = null
    }

    /** The upstream that holds [block] as far as cache events tell, or null. */
    fun holder(block: Long): UpstreamRuntime? {
        val at = slot(block)
        return if (blocks[at] == block) holders[at] else null
    }

    /** Forgets everything about [upstream], for example after it lost its cache. */
    fun forget(upstream: UpstreamRuntime) {
        for (i in holders.indices) if (holders[i] === upstream) holders[i] = null
    }

    private fun slot(block: Long): Int = (Hashing.mix(block) and (SIZE - 1L)).toInt()

    private companion object {
        const val SIZE = 1 shl 14
    }
}
