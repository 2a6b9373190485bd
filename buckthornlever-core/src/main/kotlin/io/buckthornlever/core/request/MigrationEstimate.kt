package io.buckthornlever.core.request

/**
 * Cost model for migrating a stream to another upstream: transfer its KV state or recompute its context.
 *
 * @property kvBytesPerToken size of the KV cache of one token, in bytes
 * @property transferBytesPerSecond rate at which KV state is transferred between upstreams
 * @property transferSetupMillis fixed time of a transfer, independent of its size
 * @property prefillTokensPerSecond rate at which an upstream recomputes a context
 */
public data class MigrationEstimate(
    val kvBytesPerToken: Long,
    val transferBytesPerSecond: Long,
    val transferSetupMillis: Long,
    val prefillTokensPerSecond: Long,
) {
    /** Time to transfer the KV state of [contextTokens], in milliseconds. */
    public fun transferMillis(contextTokens: Int): Long =
        transferSetupMillis + contextTokens * kvBytesPerToken * MILLIS_PER_SECOND / transferBytesPerSecond

    /** Time to recompute [contextTokens], of which the new upstream has [cachedTokens] cached, in milliseconds. */
    public fun recomputeMillis(
        contextTokens: Int,
        cachedTokens: Int,
    ): Long = maxOf(0, contextTokens - cachedTokens) * MILLIS_PER_SECOND / prefillTokensPerSecond

    /** True if the transfer is faster than recomputing and ends within [noticeMillis]. */
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
