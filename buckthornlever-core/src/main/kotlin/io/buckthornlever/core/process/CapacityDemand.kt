package io.buckthornlever.core.process

import io.buckthornlever.api.process.PoolName

/**
 * Capacity that a pool needs to keep its latency target.
 *
 * @property required concurrent requests that the pool must be able to run even after the loss of any one failure domain
 * @property onDemandShare share of [required], from 0 to 1, that must survive the reclaim of every reclaimable instance
 */
public data class CapacityDemand(
    val pool: PoolName,
    val required: Int,
    val onDemandShare: Double = DEFAULT_ON_DEMAND_SHARE,
) {
    public companion object {
        /** Capacity share that lookups and non-repeatable calls keep in the worst reclaim wave. */
        public const val DEFAULT_ON_DEMAND_SHARE: Double = 0.2
    }
}
