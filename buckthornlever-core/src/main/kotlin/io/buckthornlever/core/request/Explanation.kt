package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId

/**
 * Why a decision came out as it did, for the `explain` command; bounded regardless of the number of upstreams.
 *
 * @property exclusions upstreams that the tables keep out of the pools that were considered
 */
public class Explanation internal constructor(
    private val ids: Array<String>,
    private val fields: IntArray,
    public val exclusions: List<PoolExclusion>,
) {
    /** The candidates in the order in which they were considered. */
    public val candidates: List<CandidateVerdict>
        get() =
            ids.mapIndexed { index, id ->
                val at = index * FIELDS_PER_CANDIDATE
                CandidateVerdict(UpstreamId(id), Verdict.entries[fields[at]], fields[at + 1], fields[at + 2])
            }

    /** The explanation of decisions that considered nothing. */
    public companion object {
        internal const val FIELDS_PER_CANDIDATE = 3

        /** No candidates. */
        public val EMPTY: Explanation = Explanation(emptyArray(), IntArray(0), emptyList())
    }
}
