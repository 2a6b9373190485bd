package io.buckthornlever.core.process

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.request.Hashing

/**
 * Divides the limit of a cold upstream among the live entry instances so that the sum of the shares stays within the limit even
 * while the instances' membership views differ.
 *
 * Unit `u` of a limit belongs to the instance with rank `u mod n` in the rendezvous order of the upstream. The limit is divided
 * among all members that this instance has seen as live within the last [RoutingSettings.shareGrowthDelay]: a share shrinks as
 * soon as a member joins, and grows only that long after one has departed. A larger set of members never gives a larger share.
 * Hence the sum stays within the limit if every instance with a share was known to every other one at some time within that delay.
 */
public class ColdStartShares(
    self: InstanceId,
    private val settings: RoutingSettings,
    startNanos: Long,
) {
    private val selfHash = Hashing.hash(self.value)
    private val liveHashes = HashSet<Long>()
    private val departedUntil = HashMap<Long, Long>()
    private var nextExpiry = Long.MAX_VALUE
    private var generation = 0

    /** Time before which this instance has no share, because the other instances may not know of it yet. */
    internal val firstShareNanos: Long = startNanos + settings.firstShareDelay.toNanos()
    private var isWaiting = true

    /** Number of live entry instances, at least 1 for this one. */
    internal val instanceCount: Int get() = maxOf(1, liveHashes.size)

    /** Pseudo-random number from 0 (included) to 1 (excluded) that depends on this instance and [key]. */
    internal fun roundingOffset(key: Long): Double = Hashing.toUnitInterval(Hashing.combine(key, selfHash))

    /** Updates the set of live entry instances, this one included, as this instance sees it from [nanos] on. */
    public fun onMembersChanged(
        members: Collection<InstanceId>,
        nanos: Long,
    ) {
        refresh(nanos)
        val hashes = members.mapTo(HashSet(members.size * 2)) { Hashing.hash(it.value) }
        if (hashes == liveHashes) return
        for (hash in liveHashes) if (hash !in hashes) departedUntil[hash] = nanos + settings.shareGrowthDelay.toNanos()
        liveHashes.clear()
        liveHashes.addAll(hashes)
        departedUntil.keys.removeAll(liveHashes)
        nextExpiry = departedUntil.values.minOrNull() ?: Long.MAX_VALUE
        generation++
    }

    /** Share of this instance in a limit of [total] at the upstream with hash [upstreamHash]. */
    internal fun share(
        upstreamHash: Long,
        total: Int,
        nanos: Long,
    ): Int {
        refresh(nanos)
        return rankFor(upstreamHash).share(total)
    }

    /** Drops departed members whose delay has passed and returns the generation, which changes whenever shares may change. */
    internal fun refresh(nanos: Long): Int {
        if (nanos >= nextExpiry) {
            departedUntil.values.removeIf { it <= nanos }
            nextExpiry = departedUntil.values.minOrNull() ?: Long.MAX_VALUE
            generation++
        }
        if (isWaiting && nanos >= firstShareNanos) {
            isWaiting = false
            generation++
        }
        return generation
    }

    /** This instance's rank for the upstream with hash [upstreamHash]; valid until the generation changes. */
    internal fun rankFor(upstreamHash: Long): ShareRank {
        if (isWaiting || selfHash !in liveHashes) return ShareRank.NONE
        val own = Hashing.combine(upstreamHash, selfHash)
        val above =
            liveHashes.count { Hashing.combine(upstreamHash, it) > own } +
                departedUntil.keys.count { Hashing.combine(upstreamHash, it) > own }
        return ShareRank(liveHashes.size + departedUntil.size, above)
    }
}
