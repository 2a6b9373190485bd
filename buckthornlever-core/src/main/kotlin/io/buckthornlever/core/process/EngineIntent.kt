package io.buckthornlever.core.process

import io.buckthornlever.api.connection.EngineOrderKind
import io.buckthornlever.api.connection.UpstreamId
import kotlinx.serialization.Serializable

/** Desired state of one engine: the model version that it should have loaded or the role that it should have. */
@Serializable
public data class EngineIntent(
    val upstream: UpstreamId,
    val kind: EngineOrderKind,
    val model: String,
    val version: String,
)
