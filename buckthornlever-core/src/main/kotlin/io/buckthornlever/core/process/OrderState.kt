package io.buckthornlever.core.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a recorded order. */
@Serializable
public enum class OrderState {
    /** Stored and possibly sent; sent again with the same request id until its outcome is known. */
    @SerialName("planned")
    PLANNED,

    /** Carried out. */
    @SerialName("done")
    DONE,
}
