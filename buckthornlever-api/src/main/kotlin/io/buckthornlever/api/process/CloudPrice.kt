package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/** Current price of a machine class in one failure domain, per hour in the site's currency. */
@Serializable
public data class CloudPrice(
    val failureDomain: FailureDomain,
    val machineClass: String,
    val kind: CloudInstanceKind,
    val pricePerHour: Double,
)
