package io.buckthornlever.core.request

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Execution state of a non-repeatable call, as recorded. */
@Serializable
public enum class AtMostOnceState {
    /** The call may have been sent; its outcome is not known yet. */
    @SerialName("pending")
    PENDING,

    /** The call ran and its outcome is in the record. */
    @SerialName("done")
    DONE,

    /** The call may have run; its outcome will never be known. */
    @SerialName("unknown")
    UNKNOWN,
}
