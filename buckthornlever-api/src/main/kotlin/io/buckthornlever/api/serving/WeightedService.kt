package io.buckthornlever.api.serving

/**
 * One of the services among which a route divides its requests.
 *
 * @property weight share relative to the other services of the route
 */
public data class WeightedService(
    val service: String,
    val weight: Int,
)
