@file:UseSerializers(DurationSerializer::class)

package io.buckthornlever.api.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.version.VersionLabel
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import java.time.Duration

/**
 * An upstream as it has registered itself.
 *
 * @property version version of its software
 * @property slots requests that it runs at once
 * @property leaving true once it has announced its end
 * @property coldFor how much longer it bears little load; zero when warm
 * @property reclaimable true when the platform may take it away at short notice
 */
@Serializable
public data class DiscoveredUpstream(
    val id: UpstreamId,
    val service: String,
    val host: String,
    val port: Int,
    val domain: FailureDomain,
    val version: VersionLabel,
    val slots: Int,
    val leaving: Boolean,
    val coldFor: Duration,
    val reclaimable: Boolean,
)
