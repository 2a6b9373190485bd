package io.buckthornlever.standin.process

/** Blocks in the memory of one engine, least recently used ones evicted first. */
internal class PrefixCache(
    private val capacity: Int,
    private val events: CacheEventLog,
) {
    private val blocks = LinkedHashMap<String, Unit>(16, 0.75f, true)

    val size: Int
        @Synchronized get() = blocks.size

    /** Number of leading blocks of [chain] that are cached; marks them as used. */
    @Synchronized
    fun match(chain: List<String>): Int {
        val count = chain.indexOfFirst { !blocks.containsKey(it) }.let { if (it < 0) chain.size else it }
        touch(chain.subList(0, count))
        return count
    }

    @Synchronized
    fun insert(chain: List<String>) {
        val added = chain.filterNot { blocks.containsKey(it) }
        added.forEach { blocks[it] = Unit }
        touch(chain)
        if (added.isNotEmpty()) events.add(CacheEventLog.STORED, added)
        evict()
    }

    @Synchronized
    fun clear() {
        if (blocks.isEmpty()) return
        events.add(CacheEventLog.EVICTED, blocks.keys.toList())
        blocks.clear()
    }

    /** Uses the last block first, so that a block is never evicted before the blocks that follow it. */
    private fun touch(chain: List<String>) {
        chain.asReversed().forEach { blocks[it] }
    }

    private fun evict() {
        if (blocks.size <= capacity) return
        val evicted = blocks.keys.take(blocks.size - capacity)
        evicted.forEach { blocks.remove(it) }
        events.add(CacheEventLog.EVICTED, evicted)
    }
}
