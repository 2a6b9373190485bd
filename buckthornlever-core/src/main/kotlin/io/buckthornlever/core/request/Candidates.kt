package io.buckthornlever.core.request

import io.buckthornlever.core.process.UpstreamRuntime

/** A few upstreams in the rendezvous order of a key; reused between decisions to avoid allocation. */
internal class Candidates {
    private val members = arrayOfNulls<UpstreamRuntime>(SLOTS)
    private val scores = LongArray(SLOTS)

    var size: Int = 0
        private set

    /** Candidates that are neither leaving, suspect nor down. */
    var usableCount: Int = 0
        private set

    /** True when enough usable candidates are known or no further one fits. */
    val full: Boolean get() = usableCount >= MAX || size >= SLOTS

    operator fun get(index: Int): UpstreamRuntime = members[index]!!

    fun clear() {
        size = 0
        usableCount = 0
    }

    /** Inserts [member] at its place in the order of [key], unless it is already present or no place is left. */
    fun add(
        member: UpstreamRuntime,
        key: Long,
    ) {
        if (size >= SLOTS) return
        for (i in 0 until size) if (members[i] === member) return
        val score = Hashing.combine(key, member.hash)
        var at = size
        while (at > 0 && scores[at - 1] < score) {
            scores[at] = scores[at - 1]
            members[at] = members[at - 1]
            at--
        }
        scores[at] = score
        members[at] = member
        size++
        if (member.isUsable) usableCount++
    }

    companion object {
        /** Usable candidates that a decision looks at per tier. */
        const val MAX: Int = 8

        /** Candidates kept, including ones that are out. */
        const val SLOTS: Int = 24
    }
}
