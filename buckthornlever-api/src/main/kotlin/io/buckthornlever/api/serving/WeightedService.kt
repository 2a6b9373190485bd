package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * One of the services among which a route divides its requests.
 *
 * @property weight share relative to the other services of the route
 */
@Serializable
public data class WeightedService(
    val service: String,
    val weight: Int,
)
