package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId

/**
 * What placing needs to know about a request.
 *
 * @property service service whose upstreams may run it
 * @property sharedParts identities of the parts of the prompt that other requests may share, in order
 * @property sharedTokens tokens of [sharedParts]
 * @property promptTokens tokens of the whole prompt; 0 for requests without one
 * @property tried upstreams that earlier attempts have used
 * @property tieBreaker differs between requests; spreads those for which several upstreams are equally good
 */
public data class PlacementQuery(
    val service: String,
    val sharedParts: List<Long> = emptyList(),
    val sharedTokens: Int = 0,
    val promptTokens: Int = 0,
    val tried: Set<UpstreamId> = emptySet(),
    val tieBreaker: Long = 0,
)
