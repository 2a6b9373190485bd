package io.buckthornlever.standin.request

import java.time.Instant

/**
 * A creation request that reached the cloud.
 *
 * @property instanceId instance that was created or that the same `requestId` had created; null when refused
 * @property repeated true when the same `requestId` had been executed before
 */
public data class CloudOrder(
    val requestId: String,
    val failureDomain: String,
    val machineClass: String,
    val kind: String,
    val at: Instant,
    val instanceId: String?,
    val repeated: Boolean,
)
