package io.buckthornlever.core.version

/**
 * Counters of one instance for one key. Each counter only grows, so that rows merge by maximum.
 *
 * @property attempts attempts that ended
 * @property failures attempts that failed
 * @property latencyPairs pairs of bucket index and count, flattened and sorted by bucket; failed attempts are not included
 */
internal data class EvidenceRow(
    val key: EvidenceKey,
    val attempts: Int,
    val failures: Int,
    val latencyPairs: List<Int> = emptyList(),
)
