package io.buckthornlever.core.process

import io.buckthornlever.api.process.CloudInstanceKind
import io.buckthornlever.api.process.FailureDomain
import kotlinx.serialization.Serializable

/** Identifies an offer of the cloud: an instance class in a failure domain, on demand or reclaimable. */
@Serializable
public data class OfferKey(
    val failureDomain: FailureDomain,
    val machineClass: String,
    val kind: CloudInstanceKind,
) : Comparable<OfferKey> {
    override fun compareTo(other: OfferKey): Int = compareValuesBy(this, other, { it.failureDomain }, { it.machineClass }, { it.kind })
}
