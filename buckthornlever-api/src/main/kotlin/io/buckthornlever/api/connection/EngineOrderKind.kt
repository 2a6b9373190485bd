package io.buckthornlever.api.connection

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Action that an engine is ordered to perform. */
@Serializable
public enum class EngineOrderKind {
    /** Load a model. */
    @SerialName("load-model")
    LOAD_MODEL,

    /** Load an adapter for a model that is already loaded. */
    @SerialName("load-adapter")
    LOAD_ADAPTER,

    /** Switch to another version of the loaded model. */
    @SerialName("set-version")
    SET_VERSION,

    /** Change the role, such as prefill or decode. */
    @SerialName("set-role")
    SET_ROLE,
}
