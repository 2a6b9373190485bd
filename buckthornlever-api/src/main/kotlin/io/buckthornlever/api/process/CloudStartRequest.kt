package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * Request to start one instance.
 *
 * @property requestId idempotency key: a repeated request returns the instance of the first one
 */
@Serializable
public data class CloudStartRequest(
    val requestId: String,
    val failureDomain: FailureDomain,
    val machineClass: String,
    val kind: CloudInstanceKind,
)
