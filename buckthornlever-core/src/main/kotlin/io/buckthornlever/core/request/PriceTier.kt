package io.buckthornlever.core.request

import io.buckthornlever.core.process.UpstreamRuntime
import java.util.Arrays

/**
 * Upstreams of one pool and version at about the same price per unit of concurrency, with a hash ring over them. Sums of
 * load and capacity are kept up to date by the upstreams, so that no decision has to scan the members.
 */
internal class PriceTier(
    val pricePerUnit: Double,
    private val members: Array<UpstreamRuntime>,
    val target: UtilisationTarget,
) {
    private val ring: LongArray? = if (members.size > Candidates.MAX) buildRing() else null
    private val usable = IntArray(members.size)
    private val positions = IntArray(members.size) { -1 }

    var usableCount: Int = 0
        private set

    private var load = 0L
    private var capacity = 0L

    val size: Int get() = members.size

    /** Load over capacity of all usable members. */
    val utilisation: Double get() = if (capacity <= 0) 1.0 else load.toDouble() / capacity

    /** [utilisation] after one more request. */
    val utilisationWithOneMore: Double get() = if (capacity <= 0) 1.0 else (load + 1.0) / capacity

    /** Fills [into] with a few members for [key], the same on every instance, best first. */
    fun candidates(
        key: Long,
        into: Candidates,
    ) {
        into.clear()
        if (ring == null) {
            for (member in members) into.add(member, key)
        } else {
            walk(ring, key, into)
            if (into.usableCount == 0) sampleUsable(key, into)
        }
    }

    private fun walk(
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

    /** When all upstreams near the key are out, any usable ones are better than none. */
    private fun sampleUsable(
        key: Long,
        into: Candidates,
    ) {
        into.clear()
        val wanted = minOf(usableCount, Candidates.MAX)
        for (i in 0 until wanted) {
            val position = Math.floorMod(key + i, usableCount.toLong()).toInt()
            into.add(members[usable[position]], key)
        }
    }

    private fun buildRing(): LongArray {
        check(members.size <= INDEX_MASK) { "a tier holds at most $INDEX_MASK upstreams" }
        val points = LongArray(members.size * POINTS)
        members.forEachIndexed { index, member ->
            for (p in 0 until POINTS) {
                val hash = Hashing.combine(member.hash, p.toLong())
                points[index * POINTS + p] = (hash and INDEX_MASK.inv()) or index.toLong()
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

    /** Contribution of one member to the tier's sums. */
    inner class Membership(
        private val index: Int,
    ) {
        private var countedLoad = 0
        private var countedCapacity = 0

        val tier: PriceTier get() = this@PriceTier

        /** Brings the tier's sums in line with the member's present state. */
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
        /** The low bits of a ring point hold the member's index; the high 44 bits its position. */
        const val INDEX_MASK = 0xFFFFFL

        /** Points per upstream; candidates are ranked by rendezvous hashing, so few points suffice for balance. */
        const val POINTS = 16

        /** Points visited at most per decision. */
        const val MAX_STEPS = 64
    }
}
