package io.buckthornlever.core.request

import io.buckthornlever.core.process.UpstreamRuntime
import java.util.Arrays

/**
 * Upstreams of one pool and version with about the same price per unit of concurrency, on a consistent-hash ring. The upstreams
 * keep the sums of load and capacity up to date, so that no decision has to scan the members.
 */
internal class PriceTier(
    val pricePerUnit: Double,
    private val members: Array<UpstreamRuntime>,
    val target: UtilisationTarget,
) {
    private val ring: LongArray? = if (members.size > Candidates.MAX_USABLE) buildRing() else null
    private val usable = IntArray(members.size)
    private val positions = IntArray(members.size) { -1 }

    var usableCount: Int = 0
        private set

    private var load = 0L
    private var capacity = 0L

    val size: Int get() = members.size

    /** Total load divided by total capacity of the usable members; 1 if there is no capacity. */
    val utilisation: Double get() = if (capacity <= 0) 1.0 else load.toDouble() / capacity

    /** [utilisation] after one more request. */
    val utilisationWithOneMore: Double get() = if (capacity <= 0) 1.0 else (load + 1.0) / capacity

    /** Fills [into] with a few members for [key], best first; the result is the same on every instance. */
    fun collectCandidates(
        key: Long,
        into: Candidates,
    ) {
        into.clear()
        if (ring == null) {
            for (member in members) into.add(member, key)
        } else {
            walkRing(ring, key, into)
            if (into.usableCount == 0) sampleUsable(key, into)
        }
    }

    private fun walkRing(
        points: LongArray,
        key: Long,
        into: Candidates,
    ) {
        var at = Arrays.binarySearch(points, key and INDEX_MASK.inv())
        if (at < 0) at = -at - 1
        var steps = 0
        while (steps < MAX_STEPS && !into.full) {
            if (at >= points.size) at = 0
            into.add(members[(points[at] and INDEX_MASK).toInt()], key)
            at++
            steps++
        }
    }

    /** Falls back to any usable members when all upstreams near [key] on the ring are unusable. */
    private fun sampleUsable(
        key: Long,
        into: Candidates,
    ) {
        into.clear()
        val wanted = minOf(usableCount, Candidates.MAX_USABLE)
        for (i in 0 until wanted) {
            val position = Math.floorMod(key + i, usableCount.toLong()).toInt()
            into.add(members[usable[position]], key)
        }
    }

    private fun buildRing(): LongArray {
        check(members.size <= INDEX_MASK) { "a price tier exceeds the limit of $INDEX_MASK upstreams" }
        val points = LongArray(members.size * POINTS_PER_MEMBER)
        members.forEachIndexed { index, member ->
            for (p in 0 until POINTS_PER_MEMBER) {
                val hash = Hashing.combine(member.hash, p.toLong())
                points[index * POINTS_PER_MEMBER + p] = (hash and INDEX_MASK.inv()) or index.toLong()
            }
        }
        points.sort()
        return points
    }

    private fun setUsable(
        index: Int,
        isUsable: Boolean,
    ) {
        val position = positions[index]
        if (isUsable == (position >= 0)) return
        if (isUsable) {
            positions[index] = usableCount
            usable[usableCount++] = index
        } else {
            val last = usable[--usableCount]
            usable[position] = last
            positions[last] = position
            positions[index] = -1
        }
    }

    /** Contribution of one member to the tier's sums of load and capacity. */
    inner class Membership(
        private val index: Int,
    ) {
        private var countedLoad = 0
        private var countedCapacity = 0

        val tier: PriceTier get() = this@PriceTier

        /** Updates the tier's sums to the member's current state. */
        fun update() {
            val member = members[index]
            val usableNow = member.isUsable
            val newLoad = if (usableNow) member.load else 0
            val newCapacity = if (usableNow) member.capacity else 0
            load += newLoad - countedLoad
            capacity += newCapacity - countedCapacity
            countedLoad = newLoad
            countedCapacity = newCapacity
            setUsable(index, usableNow)
        }
    }

    private companion object {
        /** Mask of the low 20 bits of a ring point, which hold the member's index; the high 44 bits are its position on the ring. */
        const val INDEX_MASK = 0xFFFFFL

        /** Ring points per upstream. Candidates are ranked by rendezvous hashing, so a few points suffice for balance. */
        const val POINTS_PER_MEMBER = 16

        /** Maximum number of ring points visited per decision. */
        const val MAX_STEPS = 64
    }
}
