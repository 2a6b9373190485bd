package io.buckthornlever.core.request

/**
 * Chooses the block hash by which a prompt is routed.
 *
 * The search starts at a fixed depth of the block chain, so that instances agree without communication. While the prompts that
 * share a hash are more traffic than a few upstreams can serve, the depth doubles. This also applies to prompts that this
 * instance has never seen: with nine instances, most contexts are rare on each of them.
 */
internal class PrefixKeyChooser {
    private val keys = LongArray(TABLE_SIZE)
    private val counts = IntArray(TABLE_SIZE)
    private var recorded = 0

    /** The routing key of the prompt with block chain [prefix]; [upstreams] is the number of upstreams that share the traffic. */
    fun choose(
        prefix: LongArray,
        upstreams: Int,
    ): Long {
        val bound = maxOf(MIN_COUNT, MAX_TRAFFIC_RATIO * minOf(recorded, WINDOW_REQUESTS) / maxOf(1, upstreams))
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
        if (++recorded >= 2 * WINDOW_REQUESTS) halveCounts()
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

    private fun halveCounts() {
        for (i in counts.indices) counts[i] = counts[i] shr 1
        recorded = WINDOW_REQUESTS
    }

    private fun slot(key: Long): Int = (Hashing.mix(key) and (TABLE_SIZE - 1L)).toInt()

    private companion object {
        const val FIRST_DEPTH = 4

        /** Multiple of an upstream's average traffic that one key may carry before it is split. */
        const val MAX_TRAFFIC_RATIO = 2
        const val MIN_COUNT = 32
        const val WINDOW_REQUESTS = 4_096
        const val TABLE_SIZE = 1 shl 13
    }
}
