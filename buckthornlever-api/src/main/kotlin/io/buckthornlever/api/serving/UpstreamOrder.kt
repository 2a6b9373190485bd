package io.buckthornlever.api.serving

import io.buckthornlever.api.process.FailureDomain

/**
 * Number of upstreams wanted in one failure domain.
 *
 * @property reclaimable true for upstreams that cost less and may be taken away
 */
public data class UpstreamOrder(
    val service: String,
    val domain: FailureDomain,
    val count: Int,
    val reclaimable: Boolean,
)
