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
 * @property callers address on which callers are served
 * @property readiness address on which readiness and metrics are served
 * @property peers address for datagrams and relay requests of other instances
 * @property linkMegabits bandwidth of this instance's network link in megabits per second; 0 if unknown
 * @property belief ages of the serving table beyond which requests are refused and the instance is not ready
 * @property repeatRatio retries allowed per request of a service, over all instances
 * @property repeatWindow sliding window in which requests and retries are counted
 * @property repeatSlack retries allowed in [repeatWindow] beyond [repeatRatio], over all instances
 * @property leaseTtl time after which a lease expires unless it is renewed
 * @property usageWindow length of an accounting window; null if usage is not reported
 * @property firstStart true if no instance of the site can have served requests before
 * @property grace time from the shutdown request until the process must have exited
 */
public data class GatewaySettings(
    val instance: String,
    val domain: FailureDomain,
    val domains: List<FailureDomain>,
    val callers: ServerAddress,
    val readiness: ServerAddress,
    val peers: ServerAddress,
    val linkMegabits: Double,
    val belief: TableAgeLimits,
    val quota: QuotaBounds,
    val repeatRatio: Double,
    val repeatWindow: Duration,
    val repeatSlack: Double,
    val leaseTtl: Duration,
    val usageWindow: Duration?,
    val firstStart: Boolean,
    val grace: Duration,
)
