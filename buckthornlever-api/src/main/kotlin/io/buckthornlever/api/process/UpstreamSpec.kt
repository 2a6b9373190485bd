package io.buckthornlever.api.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.version.VersionLabel
import kotlinx.serialization.Serializable

/**
 * An upstream as the pool table lists it.
 *
 * @property url base URL, without a trailing slash
 * @property pricePerHour price per hour in the site's currency
 * @property concurrency number of concurrent requests that a warm upstream can serve
 * @property coldConcurrency number of concurrent requests that a freshly started upstream can serve, from all entry instances together
 * @property honoursFencing true when the upstream refuses orders with an outdated fencing token
 */
@Serializable
public data class UpstreamSpec(
    val id: UpstreamId,
    val url: String,
    val failureDomain: FailureDomain,
    val version: VersionLabel,
    val machineClass: String = "standard",
    val pricePerHour: Double = 1.0,
    val concurrency: Int = 64,
    val coldConcurrency: Int = 4,
    val honoursFencing: Boolean = true,
)
