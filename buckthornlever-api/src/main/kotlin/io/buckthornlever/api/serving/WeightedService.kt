package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * A service among which a route splits its requests by weight.
 *
 * @property weight share of the requests, relative to the other services of the route
 */
@Serializable
public data class WeightedService(
    val service: String,
    val weight: Int,
)
