package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Why no upstream of a service could take a request.
 *
 * @property tried eligible upstreams that the request had been sent to before
 * @property obstacles the other eligible upstreams that could not take it, by reason
 * @property ownInFlight requests of this instance in flight at the upstreams of the service
 * @property oldestLoadAge age of the oldest load figure for which an upstream counts as full; null without one
 */
public data class PlacementShortage(
    val tried: Int,
    val obstacles: Map<PlacementObstacle, Int>,
    val ownInFlight: Int,
    val oldestLoadAge: Duration?,
)
