package io.buckthornlever.core.serving

/**
 * Retries for one service in the current window of [ServiceRetryBudget], on this instance.
 *
 * @property used number of retries sent or reserved
 * @property allowed number of retries that the instance may use
 */
public data class RetryUsage(
    val used: Double,
    val allowed: Double,
)
