package io.buckthornlever.core.version

/**
 * Counters of one instance for one key. Counters only grow, so that rows are merged by taking the maximum of each.
 *
 * @property attempts attempts that ended
 * @property failures attempts that failed; included in [attempts]
 * @property latencyPairs pairs of bucket index and count, flattened and sorted by bucket; excludes failed attempts and cold upstreams
 */
internal data class EvidenceRow(
    val key: EvidenceKey,
    val attempts: Int,
    val failures: Int,
    val latencyPairs: List<Int> = emptyList(),
)
