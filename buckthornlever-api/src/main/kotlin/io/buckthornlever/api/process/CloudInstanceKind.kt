package io.buckthornlever.api.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Pricing model of a cloud instance. */
@Serializable
public enum class CloudInstanceKind {
    /** Cheaper; the cloud may reclaim it with a notice of a few seconds. */
    @SerialName("reclaimable")
    RECLAIMABLE,

    /** Never reclaimed by the cloud. */
    @SerialName("on-demand")
    ON_DEMAND,
}
