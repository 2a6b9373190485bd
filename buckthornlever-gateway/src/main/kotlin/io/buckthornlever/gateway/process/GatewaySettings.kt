package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.core.serving.BeliefLimits
import io.buckthornlever.core.serving.QuotaBounds
import io.buckthornlever.gateway.connection.ServerAddress
import java.time.Duration

/**
 * Settings of one gateway process.
 *
 * @property instance name of this instance, unique in the site
 * @property domains failure domains of the site
 * @property callers address at which callers are served
 * @property readiness address at which readiness and metrics are told
 * @property peers address for datagrams and questions of other instances
 * @property linkMegabits bandwidth of this machine's network link in megabits per second; 0 when unknown
 * @property belief ages of the serving table beyond which work is refused
 * @property repeatRatio repeats allowed for each request of a service, over all instances
 * @property repeatSlack repeats allowed besides in [repeatWindow], over all instances
 * @property leaseTtl time after which a lease that is not renewed expires
 * @property usageWindow length of an accounting window; null when usage is not reported
 * @property firstStart true when no instance of the site can have served before
 * @property grace time from the request to stop until the process has to be gone
 */
public data class GatewaySettings(
    val instance: String,
    val domain: FailureDomain,
    val domains: List<FailureDomain>,
    val callers: ServerAddress,
    val readiness: ServerAddress,
    val peers: ServerAddress,
    val linkMegabits: Double,
    val belief: BeliefLimits,
    val quota: QuotaBounds,
    val repeatRatio: Double,
    val repeatWindow: Duration,
    val repeatSlack: Double,
    val leaseTtl: Duration,
    val usageWindow: Duration?,
    val firstStart: Boolean,
    val grace: Duration,
)
