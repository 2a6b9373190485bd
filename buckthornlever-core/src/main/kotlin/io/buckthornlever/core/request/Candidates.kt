package io.buckthornlever.core.request

import io.buckthornlever.core.process.UpstreamRuntime

/** A bounded list of upstreams in the rendezvous order of a key; reused between decisions to avoid allocation. */
internal class Candidates {
    private val members = arrayOfNulls<UpstreamRuntime>(MAX_KEPT)
    private val scores = LongArray(MAX_KEPT)

    var size: Int = 0
        private set

    /** Number of candidates that are neither leaving, suspect nor down. */
    var usableCount: Int = 0
        private set

    /** True if there are enough usable candidates or the list is full. */
    val full: Boolean get() = usableCount >= MAX_USABLE || size >= MAX_KEPT

    operator fun get(index: Int): UpstreamRuntime = members[index]!!

    fun clear() {
        size = 0
        usableCount = 0
    }

    /** Inserts [member] at its position in the rendezvous order of [key], unless it is present already or the list is full. */
    fun add(
        member: UpstreamRuntime,
        key: Long,
    ) {
        if (size >= MAX_KEPT) return
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
        /** Number of usable candidates that a decision considers per tier. */
        const val MAX_USABLE: Int = 8

        /** Maximum number of candidates, including unusable ones. */
        const val MAX_KEPT: Int = 24
    }
}
