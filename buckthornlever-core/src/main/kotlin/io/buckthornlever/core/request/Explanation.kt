package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId

/**
 * Reasons for a routing decision, for the `explain` command. Its size is bounded regardless of the number of upstreams.
 *
 * @property exclusions upstreams that the configuration excludes from the pools that were considered
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

    /** Holds the explanation of decisions without candidates. */
    public companion object {
        internal const val FIELDS_PER_CANDIDATE = 3

        /** Explanation without candidates and exclusions. */
        public val EMPTY: Explanation = Explanation(emptyArray(), IntArray(0), emptyList())
    }
}
