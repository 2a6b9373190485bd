package io.buckthornlever.core.version

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a version move; a later entry overrides an earlier one when records are merged. */
@Serializable
public enum class MoveState {
    @SerialName("in-progress")
    IN_PROGRESS,

    @SerialName("done")
    DONE,

    @SerialName("rolled-back")
    ROLLED_BACK,
}
