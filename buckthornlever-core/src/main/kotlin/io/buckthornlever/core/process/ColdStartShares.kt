package io.buckthornlever.core.process

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.request.Mixing

/**
 * Divides the limit of a cold upstream among the live entry instances, so that the sum over all instances stays within the
 * limit while their membership views differ.
 *
 * Unit `u` of a limit belongs to the instance with rank `u mod n` in the rendezvous order of the upstream. The share in
 * force is the smallest over all views of the last `growthHold`. If all instances held the same view at some moment within
 * that time, each share is at most the one under that common view, and those sum up to the limit.
 */
public class ColdStartShares(
    private val self: InstanceId,
    private val settings: RoutingSettings,
    startNanos: Long,
) {
    private val views = ArrayDeque<View>()

    private val selfHash = Mixing.hash(self.value)
    private var generation = 0

    init {
        // An instance that has just started counts as outside, until every other one has learned of it.
        val delay = settings.startHold.minus(settings.growthHold)
        views.addLast(View(LongArray(0), false, startNanos + delay.toNanos()))
    }

    /** Takes the live entry instances, this one included, as this instance sees them from [nanos] on. */
    public fun membersChanged(
        live: Collection<InstanceId>,
        nanos: Long,
    ) {
        views.lastOrNull()?.let { if (it.until == OPEN) it.until = nanos }
        val hashes = LongArray(live.size)
        live.forEachIndexed { index, id -> hashes[index] = Mixing.hash(id.value) }
        views.addLast(View(hashes, self in live, OPEN))
        if (views.size > MAX_VIEWS) forgetOldest()
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

    /** Drops views that no longer count and returns the generation of the remaining set. */
    internal fun refresh(nanos: Long): Int {
        val horizon = nanos - settings.growthHold.toNanos()
        while (views.isNotEmpty() && views.first().until <= horizon) {
            views.removeFirst()
            generation++
        }
        return generation
    }

    /** This instance's ranks for one upstream under all views that count; valid until the generation changes. */
    internal fun basis(upstreamHash: Long): ShareBasis {
        if (views.lastOrNull()?.until != OPEN) return ShareBasis.NONE
        val own = Mixing.combine(upstreamHash, selfHash)
        val sizes = IntArray(views.size) { if (views[it].containsSelf) views[it].members.size else 0 }
        val ranks = IntArray(views.size) { index -> views[index].members.count { Mixing.combine(upstreamHash, it) > own } }
        return ShareBasis(sizes, ranks)
    }

    /** Too many views to keep: the oldest ones are replaced by the empty view, under which every share is zero. */
    private fun forgetOldest() {
        views.removeFirst()
        val second = views.removeFirst()
        views.addFirst(View(LongArray(0), false, second.until))
    }

    private class View(
        val members: LongArray,
        val containsSelf: Boolean,
        var until: Long,
    )

    private companion object {
        const val MAX_VIEWS = 64
        const val OPEN = Long.MAX_VALUE
    }
}
