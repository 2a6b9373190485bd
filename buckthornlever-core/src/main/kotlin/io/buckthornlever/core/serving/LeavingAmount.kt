package io.buckthornlever.core.serving

/**
 * Amount that leaves a sliding window.
 *
 * @property nanos monotonic time at which [amount] no longer counts
 */
public data class LeavingAmount(
    val amount: Double,
    val nanos: Long,
)
