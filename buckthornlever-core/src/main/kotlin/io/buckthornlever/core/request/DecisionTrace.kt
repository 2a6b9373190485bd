package io.buckthornlever.core.request

import io.buckthornlever.core.process.UpstreamRuntime

/** Records the verdicts of one routing decision; reused between decisions and copied into the [Selection]. */
internal class DecisionTrace {
    private val upstreams = arrayOfNulls<UpstreamRuntime>(MAX_ENTRIES)
    private val verdictOrdinals = IntArray(MAX_ENTRIES)
    private var size = 0

    fun clear() {
        size = 0
    }

    /**
     * Records [verdict], replacing an earlier one of the same upstream. When the record is full, [Verdict.CHOSEN] replaces the last
     * entry and any other verdict is dropped.
     */
    fun record(
        upstream: UpstreamRuntime,
        verdict: Verdict,
    ) {
        for (i in 0 until size) {
            if (upstreams[i] === upstream) {
                verdictOrdinals[i] = verdict.ordinal
                return
            }
        }
        if (size == MAX_ENTRIES) {
            if (verdict != Verdict.CHOSEN) return
            size--
        }
        upstreams[size] = upstream
        verdictOrdinals[size++] = verdict.ordinal
    }

    fun toExplanation(exclusions: List<PoolExclusion>): Explanation {
        val ids = Array(size) { upstreams[it]!!.spec.id.value }
        val fields = IntArray(size * Explanation.FIELDS_PER_CANDIDATE)
        for (i in 0 until size) {
            val upstream = upstreams[i]!!
            fields[i * Explanation.FIELDS_PER_CANDIDATE] = verdictOrdinals[i]
            fields[i * Explanation.FIELDS_PER_CANDIDATE + 1] = upstream.load
            fields[i * Explanation.FIELDS_PER_CANDIDATE + 2] = upstream.capacity
        }
        return Explanation(ids, fields, exclusions)
    }

    private companion object {
        const val MAX_ENTRIES = 16
    }
}
