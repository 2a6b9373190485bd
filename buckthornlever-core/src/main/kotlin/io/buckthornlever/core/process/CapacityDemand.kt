package io.buckthornlever.core.process

import io.buckthornlever.api.process.PoolName

/**
 * Capacity that a pool needs to keep its latency target.
 *
 * @property required requests at once that must find a place, also after the loss of any one failure domain
 * @property onDemandShare part of [required] that has to survive a reclaim of every reclaimable instance
 */
public data class CapacityDemand(
    val pool: PoolName,
    val required: Int,
    val onDemandShare: Double = DEFAULT_ON_DEMAND_SHARE,
) {
    public companion object {
        /** Lookups and non-repeatable calls keep this part of capacity in the worst reclaim wave. */
        public const val DEFAULT_ON_DEMAND_SHARE: Double = 0.2
    }
}
