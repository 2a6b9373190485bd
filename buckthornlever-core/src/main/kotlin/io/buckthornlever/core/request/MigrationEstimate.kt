package io.buckthornlever.core.request

/**
 * Figures from which the cheaper way to move a stream is chosen.
 *
 * @property kvBytesPerToken size of the KV cache of one token, in bytes
 * @property transferBytesPerSecond rate at which KV state moves between upstreams
 * @property transferSetupMillis time of a transfer that does not depend on its size
 * @property prefillTokensPerSecond rate at which an upstream recomputes a context
 */
public data class MigrationEstimate(
    val kvBytesPerToken: Long,
    val transferBytesPerSecond: Long,
    val transferSetupMillis: Long,
    val prefillTokensPerSecond: Long,
) {
    /** Time to move the KV state of [contextTokens], in milliseconds. */
    public fun transferMillis(contextTokens: Int): Long =
        transferSetupMillis + contextTokens * kvBytesPerToken * MILLIS_PER_SECOND / transferBytesPerSecond

    /** Time to recompute [contextTokens] of which the new upstream holds [cachedTokens], in milliseconds. */
    public fun recomputeMillis(
        contextTokens: Int,
        cachedTokens: Int,
    ): Long = maxOf(0, contextTokens - cachedTokens) * MILLIS_PER_SECOND / prefillTokensPerSecond

    /** True when the transfer takes less time and ends within [noticeMillis]. */
    public fun prefersTransfer(
        contextTokens: Int,
        cachedTokens: Int,
        noticeMillis: Long,
    ): Boolean {
        val transfer = transferMillis(contextTokens)
        return transfer < recomputeMillis(contextTokens, cachedTokens) && transfer <= noticeMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
