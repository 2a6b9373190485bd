package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.core.serving.TableAgeLimits
import io.buckthornlever.core.serving.QuotaBounds
import io.buckthornlever.gateway.connection.ServerAddress
import java.time.Duration

/**
 * Settings of one gateway process.
 *
 * @property instance name of this instance, unique in the site
 * @property domains failure domains of the site
 * @property callerAddress address at which callers are served
 * @property probeAddress address at which readiness and metrics are told
 * @property peerAddress address for datagrams and questions of other instances
 * @property linkMegabits bandwidth of this machine's network link in megabits per second; 0 when unknown
 * @property tableAgeLimits ages of the serving table beyond which work is refused
 * @property retryRatio repeats allowed for each request of a service, over all instances
 * @property retrySlack repeats allowed besides in [retryWindow], over all instances
 * @property leaseTtl time after which a lease that is not renewed expires
 * @property usageWindow length of an accounting window; null when usage is not reported
 * @property firstStart true when no instance of the site can have served before
 * @property grace time from the request to stop until the process has to be gone
 */
public data class GatewaySettings(
    val instance: String,
    val domain: FailureDomain,
    val domains: List<FailureDomain>,
    val callerAddress: ServerAddress,
    val probeAddress: ServerAddress,
    val peerAddress: ServerAddress,
    val linkMegabits: Double,
    val tableAgeLimits: TableAgeLimits,
    val quota: QuotaBounds,
    val retryRatio: Double,
    val retryWindow: Duration,
    val retrySlack: Double,
    val leaseTtl: Duration,
    val usageWindow: Duration?,
    val firstStart: Boolean,
    val grace: Duration,
)
