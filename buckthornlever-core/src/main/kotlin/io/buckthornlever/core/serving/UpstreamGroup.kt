package io.buckthornlever.core.serving

/**
 * Upstreams that are eligible for the same requests, and which of them the shared parts of prompts belong to. Not thread-safe.
 *
 * Rendezvous hashing gives each of [BUCKETS] buckets of parts to [OWNERS] upstreams. The owners of a bucket are looked up once and kept
 * while they stay in the group and no other upstream takes their place, so that a request costs the same in a group of any size.
 */
internal class UpstreamGroup {
    private val owners = arrayOfNulls<UpstreamEntry>(BUCKETS * OWNERS)

    /** The upstreams in the order of their registration. */
    var entries: List<UpstreamEntry> = emptyList()
        private set

    /** Replaces the upstreams of the group. */
    fun update(newEntries: List<UpstreamEntry>) {
        val remaining = newEntries.toHashSet()
        val before = entries.toHashSet()
        for (bucket in 0 until BUCKETS) {
            val isStale = (0 until OWNERS).any { rank -> owners[bucket * OWNERS + rank]?.let { it !in remaining } ?: false }
            if (isStale) owners.fill(null, bucket * OWNERS, (bucket + 1) * OWNERS)
        }
        entries = newEntries
        newEntries.filter { it !in before }.forEach(::addToBuckets)
    }

    /**
     * Upstream that the prompt part [key] belongs to, the [rank]th of [OWNERS]: the first takes the part, the others take it in this order
     * while those before have too much to do. All instances choose them alike. Null if the group has no more upstreams.
     */
    fun owner(
        key: Long,
        rank: Int = 0,
    ): UpstreamEntry? = owners[known(bucketOf(key)) * OWNERS + rank]

    private fun bucketOf(key: Long): Int = (StableHash.combine(key, BUCKET_SEED) ushr (Long.SIZE_BITS - BUCKET_BITS)).toInt()

    private fun known(bucket: Int): Int {
        if (owners[bucket * OWNERS] == null) entries.forEach { offer(bucket, it) }
        return bucket
    }

    private fun addToBuckets(entry: UpstreamEntry) {
        for (bucket in 0 until BUCKETS) if (owners[bucket * OWNERS] != null) offer(bucket, entry)
    }

    private fun offer(
        bucket: Int,
        entry: UpstreamEntry,
    ) {
        val start = bucket * OWNERS
        val weight = weight(bucket, entry)
        var index = start + OWNERS
        while (index > start && (owners[index - 1]?.let { weight > weight(bucket, it) } ?: true)) index--
        if (index == start + OWNERS) return
        owners.copyInto(owners, index + 1, index, start + OWNERS - 1)
        owners[index] = entry
    }

    private fun weight(
        bucket: Int,
        entry: UpstreamEntry,
    ): Long = StableHash.combine(bucket.toLong(), entry.hash)

    companion object {
        /** Upstreams that a shared part may be read by; four read the busiest parts of the large sites in time. */
        const val OWNERS = 4

        private const val BUCKET_BITS = 12

        /** Enough for parts to spread evenly over a thousand upstreams. */
        private const val BUCKETS = 1 shl BUCKET_BITS
        private const val BUCKET_SEED = 1L
    }
}
