package io.buckthornlever.api.serving

import io.buckthornlever.api.process.FailureDomain

/**
 * Desired number of upstreams of a service in one failure domain.
 *
 * @property reclaimable true for cheaper upstreams that the cloud may reclaim
 */
public data class UpstreamOrder(
    val service: String,
    val domain: FailureDomain,
    val count: Int,
    val reclaimable: Boolean,
)
