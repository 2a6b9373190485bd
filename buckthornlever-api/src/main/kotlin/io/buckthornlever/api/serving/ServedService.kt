package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * A group of interchangeable upstreams.
 *
 * @property healthPath request path of the health check
 * @property maxConnections connections that one upstream accepts from all instances together
 * @property coldRequestsPerSecond requests per second that one cold upstream can take from all instances together; 0 means no limit
 * @property engine true when the upstreams are model engines
 * @property scaling limits for ordering upstreams; null when the service cannot be scaled
 */
@Serializable
public data class ServedService(
    val name: String,
    val healthPath: String,
    val maxConnections: Int,
    val coldRequestsPerSecond: Double,
    val engine: Boolean,
    val scaling: ScalingLimits?,
)
