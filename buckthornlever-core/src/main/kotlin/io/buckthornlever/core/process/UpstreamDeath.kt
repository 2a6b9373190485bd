package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId

/**
 * Death of [upstream] while it ran a request.
 *
 * @property atMillis wall-clock time of the observation in milliseconds; differs between observers of the same death
 */
public data class UpstreamDeath(
    val upstream: UpstreamId,
    val atMillis: Long,
)
