package io.buckthornlever.core.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a recorded order. */
@Serializable
public enum class OrderState {
    /** Recorded; may have been sent. It is repeated with the same request id until its outcome is known. */
    @SerialName("planned")
    PLANNED,

    /** Carried out. */
    @SerialName("done")
    DONE,
}
