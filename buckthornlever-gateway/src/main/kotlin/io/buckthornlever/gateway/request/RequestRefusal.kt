package io.buckthornlever.gateway.request

import java.time.Duration

/**
 * Why a request that has not run is refused.
 *
 * @property retryAfter time after which the caller may return; null if a return has no prospect
 */
internal data class RequestRefusal(
    val reason: String,
    val retryAfter: Duration?,
)
