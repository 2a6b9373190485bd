package io.buckthornlever.gateway.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.core.serving.StatedLoad

/**
 * Decoded answer of an upstream to a health check; its status is not part of it, since it may be wrong.
 *
 * @property upstream upstream that answered
 * @property load load that it states
 */
public data class UpstreamHealth(
    val upstream: UpstreamId,
    val load: StatedLoad,
)
