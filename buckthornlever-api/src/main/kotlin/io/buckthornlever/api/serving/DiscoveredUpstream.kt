@file:UseSerializers(DurationSerializer::class)

package io.buckthornlever.api.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.version.VersionLabel
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import java.time.Duration

/**
 * An upstream as registered in the shared store by itself.
 *
 * @property version version of the software that it runs
 * @property slots number of requests that it runs concurrently
 * @property leaving true once it has announced that it will shut down
 * @property coldFor remaining warm-up time, during which it can take only little load; zero when warm
 * @property reclaimable true when the cloud may reclaim it at short notice
 * @property bornMillis start of its process in milliseconds since the epoch; null if it does not say
 * @property sequence number of this registration, which rises with each one of the same process; null if it does not say
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
    val bornMillis: Long? = null,
    val sequence: Long? = null,
)
