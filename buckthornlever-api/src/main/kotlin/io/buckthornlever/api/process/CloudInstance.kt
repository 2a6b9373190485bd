package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * An instance that the cloud runs for this site.
 *
 * @property requestId id of the request that started it; null when the cloud does not report it
 */
@Serializable
public data class CloudInstance(
    val id: String,
    val failureDomain: FailureDomain,
    val machineClass: String,
    val kind: CloudInstanceKind,
    val requestId: String? = null,
)
