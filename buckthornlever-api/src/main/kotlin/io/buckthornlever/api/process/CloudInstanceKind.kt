package io.buckthornlever.api.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Terms under which the cloud rents an instance. */
@Serializable
public enum class CloudInstanceKind {
    /** Cheaper; may be reclaimed with seconds of notice. */
    @SerialName("reclaimable")
    RECLAIMABLE,

    /** Never reclaimed. */
    @SerialName("on-demand")
    ON_DEMAND,
}
