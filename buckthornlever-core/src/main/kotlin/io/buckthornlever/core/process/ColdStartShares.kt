package io.buckthornlever.core.process

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.request.Hashing

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
    private val selfHash = Hashing.hash(self.value)
    private val live = HashSet<Long>()
    private val goneUntil = HashMap<Long, Long>()
    private var nextExpiry = Long.MAX_VALUE
    private var generation = 0

    /** An instance that has just started has no share until every other one has learned of it. */
    internal val waitUntil: Long = startNanos + settings.startHold.toNanos()
    private var waiting = true

    /** Live entry instances, at least this one. */
    internal val instanceCount: Int get() = maxOf(1, live.size)

    /** Number from 0 to 1 that differs between instances and between values of [key]. */
    internal fun roundingOffset(key: Long): Double = Hashing.toUnitInterval(Hashing.combine(key, selfHash))

    /** Takes the live entry instances, this one included, as this instance sees them from [nanos] on. */
    public fun onMembersChanged(
        members: Collection<InstanceId>,
        nanos: Long,
    ) {
        refresh(nanos)
        val hashes = members.mapTo(HashSet(members.size * 2)) { Hashing.hash(it.value) }
        if (hashes == live) return
        for (gone in live) if (gone !in hashes) goneUntil[gone] = nanos + settings.growthHold.toNanos()
        live.clear()
        live.addAll(hashes)
        goneUntil.keys.removeAll(live)
        nextExpiry = goneUntil.values.minOrNull() ?: Long.MAX_VALUE
        generation++
    }

    /** Share of this instance in a limit of [total] at the upstream with hash [upstreamHash]. */
    internal fun share(
        upstreamHash: Long,
        total: Int,
        nanos: Long,
    ): Int {
        refresh(nanos)
        return basis(upstreamHash).share(total)
    }

    /** Forgets members whose hold is over and returns the generation of the remaining set. */
    internal fun refresh(nanos: Long): Int {
        if (nanos >= nextExpiry) {
            goneUntil.values.removeIf { it <= nanos }
            nextExpiry = goneUntil.values.minOrNull() ?: Long.MAX_VALUE
            generation++
        }
        if (waiting && nanos >= waitUntil) {
            waiting = false
            generation++
        }
        return generation
    }

    /** This instance's rank for one upstream; valid until the generation changes. */
    internal fun basis(upstreamHash: Long): ShareBasis {
        if (waiting || selfHash !in live) return ShareBasis.NONE
        val own = Hashing.combine(upstreamHash, selfHash)
        val above = live.count { Hashing.combine(upstreamHash, it) > own } + goneUntil.keys.count { Hashing.combine(upstreamHash, it) > own }
        return ShareBasis(live.size + goneUntil.size, above)
    }
}
