package io.buckthornlever.core.version

/**
 * Counters of one instance for one key. Each counter only grows, so that rows merge by maximum.
 *
 * @property requests attempts that ended
 * @property errors attempts that failed
 * @property latency pairs of bucket index and count, flattened and sorted by bucket; failed attempts are not included
 */
internal data class EvidenceRow(
    val key: EvidenceKey,
    val requests: Int,
    val errors: Int,
    val latency: List<Int> = emptyList(),
)
