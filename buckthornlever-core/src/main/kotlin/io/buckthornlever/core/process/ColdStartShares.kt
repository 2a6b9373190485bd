package io.buckthornlever.core.process

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.request.Mixing

/**
 * Divides the limit of a cold upstream among the live entry instances, so that the sum over all instances stays within the
 * limit while their membership views differ.
 *
 * Unit `u` of a limit belongs to the instance with rank `u mod n` in the rendezvous order of the upstream. The division is
 * made among all members that this instance has seen as live within the last `growthHold`: a share shrinks at once when a
 * member joins and grows that long after one has gone. A share under a larger set of members is never larger. Hence the sum
 * stays within the limit if each instance that has a share was known to each other one at some moment of that time.
 */
public class ColdStartShares(
    self: InstanceId,
    private val settings: RoutingSettings,
    startNanos: Long,
) {
    private val selfHash = Mixing.hash(self.value)
    private val liveHashes = HashSet<Long>()
    private val departedUntil = HashMap<Long, Long>()
    private var nextExpiry = Long.MAX_VALUE
    private var generation = 0

    /** An instance that has just started has no share until every other one has learned of it. */
    internal val firstShareNanos: Long = startNanos + settings.firstShareDelay.toNanos()
    private var isWaiting = true

    /** Live entry instances, at least this one. */
    internal val instances: Int get() = maxOf(1, liveHashes.size)

    /** Number from 0 to 1 that differs between instances and between values of [key]. */
    internal fun rounding(key: Long): Double = Mixing.unit(Mixing.combine(key, selfHash))

    /** Takes the live entry instances, this one included, as this instance sees them from [nanos] on. */
    public fun membersChanged(
        members: Collection<InstanceId>,
        nanos: Long,
    ) {
        refresh(nanos)
        val hashes = members.mapTo(HashSet(members.size * 2)) { Mixing.hash(it.value) }
        if (hashes == liveHashes) return
        for (gone in liveHashes) if (gone !in hashes) departedUntil[gone] = nanos + settings.shareGrowthDelay.toNanos()
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

    /** Forgets members whose hold is over and returns the generation of the remaining set. */
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

    /** This instance's rank for one upstream; valid until the generation changes. */
    internal fun rankFor(upstreamHash: Long): ShareRank {
        if (isWaiting || selfHash !in liveHashes) return ShareRank.NONE
        val own = Mixing.combine(upstreamHash, selfHash)
        val above = liveHashes.count { Mixing.combine(upstreamHash, it) > own } + departedUntil.keys.count { Mixing.combine(upstreamHash, it) > own }
        return ShareRank(liveHashes.size + departedUntil.size, above)
    }
}
