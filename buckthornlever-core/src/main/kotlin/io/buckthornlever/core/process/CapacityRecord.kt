package io.buckthornlever.core.process

import kotlinx.serialization.Serializable

/**
 * Orders of the lease holder, stored at `status/capacity`.
 *
 * @property sequence sequence number of the newest order; request ids are derived from it and are never reused
 */
@Serializable
public data class CapacityRecord(
    val sequence: Long = 0,
    val orders: List<RecordedOrder> = emptyList(),
)
