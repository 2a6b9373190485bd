package io.buckthornlever.core.process

import io.buckthornlever.api.connection.EngineOrderKind
import io.buckthornlever.api.connection.UpstreamId
import kotlinx.serialization.Serializable

/** What one engine should have loaded or which role it should have. */
@Serializable
public data class EngineIntent(
    val upstream: UpstreamId,
    val kind: EngineOrderKind,
    val model: String,
    val version: String,
)
