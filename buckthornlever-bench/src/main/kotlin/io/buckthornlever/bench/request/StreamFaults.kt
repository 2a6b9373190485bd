package io.buckthornlever.bench.request

/**
 * Faults of a [StreamSimulation].
 *
 * @property reclaimAtMillis when the notice for the engines of the first failure domain arrives; null for no reclaim
 * @property noticeMillis time from the notice to the end of those engines; 0 ends them without notice
 * @property silentPercent share of connections that go silent after a random token, in percent
 */
internal data class StreamFaults(
    val reclaimAtMillis: Long? = null,
    val noticeMillis: Long = 0,
    val silentPercent: Int = 0,
)
