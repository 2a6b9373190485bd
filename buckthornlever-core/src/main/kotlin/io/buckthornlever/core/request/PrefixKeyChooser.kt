package io.buckthornlever.core.request

/**
 * Chooses the block hash whose upstreams a prompt uses. Starts at a fixed depth, so that instances agree without
 * communication. While the prompts below one hash are a larger part of the traffic than a few upstreams can carry, it goes
 * deeper along a fixed ladder. It does so for prompts that this instance has never seen, too: with nine instances, most
 * contexts are rare at each of them.
 */
internal class PrefixKeyChooser {
    private val keys = LongArray(SIZE)
    private val counts = IntArray(SIZE)
    private var seen = 0

    /** The key of the prompt with block chain [prefix]; [upstreams] is the number that share the traffic. */
    fun choose(
        prefix: LongArray,
        upstreams: Int,
    ): Long {
        val bound = maxOf(MIN_COUNT, PART * minOf(seen, WINDOW) / maxOf(1, upstreams))
        var key = prefix[minOf(FIRST_DEPTH, prefix.size) - 1]
        var depth = FIRST_DEPTH
        while (count(key) > bound && depth < prefix.size) {
            depth = minOf(depth * 2, prefix.size)
            key = prefix[depth - 1]
        }
        return key
    }

    /** Counts one request with block chain [prefix]. */
    fun record(prefix: LongArray) {
        var depth = FIRST_DEPTH
        while (depth <= prefix.size) {
            increment(prefix[depth - 1])
            depth *= 2
        }
        if (++seen >= 2 * WINDOW) halve()
    }

    private fun count(key: Long): Int {
        val at = slot(key)
        return if (keys[at] == key) counts[at] else 0
    }

    private fun increment(key: Long) {
        val at = slot(key)
        if (keys[at] == key) {
            counts[at]++
        } else if (--counts[at] <= 0) {
            keys[at] = key
            counts[at] = 1
        }
    }

    private fun halve() {
        for (i in counts.indices) counts[i] = counts[i] shr 1
        seen = WINDOW
    }

    private fun slot(key: Long): Int = (Hashing.mix(key) and (SIZE - 1L)).toInt()

    private companion object {
        const val FIRST_DEPTH = 4

        /** A key may have this many times the average traffic of an upstream before it is divided. */
        const val PART = 2
        const val MIN_COUNT = 32
        const val WINDOW = 4_096
        const val SIZE = 1 shl 13
    }
}
