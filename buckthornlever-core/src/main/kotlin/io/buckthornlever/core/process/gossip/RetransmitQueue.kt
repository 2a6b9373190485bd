package io.buckthornlever.core.process.gossip

import java.util.ArrayDeque

/**
 * Values to be sent a bounded number of times each, least often sent first. A newer value replaces an older one of the same key.
 *
 * @param sizeOf upper estimate of the encoded size of a value, in bytes
 */
public class RetransmitQueue<K : Any, V : Any>(
    private val sizeOf: (V) -> Int,
) {
    private class Entry<K, V>(
        val key: K,
        val value: V,
        var sendCount: Int,
    )

    private val byKey = HashMap<K, Entry<K, V>>()
    private val bySendCount = ArrayList<ArrayDeque<Entry<K, V>>>()

    /** Number of values still to be sent. */
    public val size: Int get() = byKey.size

    /** Adds [value], replacing an older one of the same [key]. */
    public fun put(key: K, value: V) {
        val entry = Entry(key, value, 0)
        byKey[key] = entry
        bucket(0).addLast(entry)
    }

    /** Takes values up to [bytes] and drops those that have now been sent [limit] times. */
    public fun take(bytes: Int, limit: Int): List<V> {
        if (byKey.isEmpty()) return emptyList()
        val taken = ArrayList<Entry<K, V>>()
        var left = bytes
        for (bucket in bySendCount) {
            while (bucket.isNotEmpty()) {
                val entry = bucket.peekFirst()
                if (byKey[entry.key] === entry) {
                    val size = sizeOf(entry.value)
                    if (size > left) return countSent(taken, limit)
                    left -= size
                    taken.add(entry)
                }
                bucket.pollFirst()
            }
        }
        return countSent(taken, limit)
    }

    private fun countSent(taken: List<Entry<K, V>>, limit: Int): List<V> {
        taken.forEach {
            it.sendCount++
            if (it.sendCount >= limit) byKey.remove(it.key) else bucket(it.sendCount).addLast(it)
        }
        return taken.map { it.value }
    }

    private fun bucket(sendCount: Int): ArrayDeque<Entry<K, V>> {
        while (bySendCount.size <= sendCount) bySendCount.add(ArrayDeque())
        return bySendCount[sendCount]
    }
}
