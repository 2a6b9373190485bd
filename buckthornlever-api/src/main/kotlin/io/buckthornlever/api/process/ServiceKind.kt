package io.buckthornlever.api.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of upstream that a route or pool addresses. */
@Serializable
public enum class ServiceKind {
    /** Model engine with the completions API. */
    @SerialName("model")
    MODEL,

    /** Ordinary HTTP service. */
    @SerialName("plain")
    PLAIN,
}
