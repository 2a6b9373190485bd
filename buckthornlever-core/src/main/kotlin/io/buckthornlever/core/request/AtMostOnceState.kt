package io.buckthornlever.core.request

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a record says about the execution of a non-repeatable call. */
@Serializable
public enum class AtMostOnceState {
    /** Its writer may have sent the call; no outcome is known yet. */
    @SerialName("pending")
    PENDING,

    /** The call ran and its outcome is in the record. */
    @SerialName("done")
    DONE,

    /** The call may have run; its outcome will not become known. */
    @SerialName("unknown")
    UNKNOWN,
}
