package io.buckthornlever.api.version

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a version move. The order matters: when records are merged, a later entry overrides an earlier one. */
@Serializable
public enum class MoveState {
    @SerialName("in-progress")
    IN_PROGRESS,

    @SerialName("done")
    DONE,

    @SerialName("rolled-back")
    ROLLED_BACK,
}
