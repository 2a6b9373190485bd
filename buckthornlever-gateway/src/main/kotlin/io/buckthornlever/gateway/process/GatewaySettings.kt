package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.core.serving.ProcessResources
import io.buckthornlever.core.serving.QuotaBounds
import io.buckthornlever.core.serving.SenderLimiter
import io.buckthornlever.core.serving.TableAgeLimits
import io.buckthornlever.gateway.connection.ServerAddress
import java.time.Duration

/**
 * Settings of one gateway process.
 *
 * @property instance name of this instance, unique in the site
 * @property domains failure domains of the site
 * @property callerAddress address on which callers are served
 * @property probeAddress address on which readiness and metrics are served
 * @property peerAddress address for datagrams and relay requests of other instances
 * @property linkMegabits bandwidth of this instance's network link in megabits per second; 0 if unknown
 * @property tableAgeLimits ages of the serving table beyond which requests are refused and the instance is not ready
 * @property retryRatio retries allowed per request of a service, over all instances
 * @property retryWindow sliding window in which requests and retries are counted
 * @property retrySlack retries allowed in [retryWindow] beyond [retryRatio], over all instances
 * @property unprovedVersionPercent largest share of requests for a version that operators have ordered, until it has proved good
 * @property leaseTtl time after which a lease expires unless it is renewed
 * @property usageWindow length of an accounting window; null if usage is not reported
 * @property usageLate time from the end of an accounting window until its report is due; null if it is not known
 * @property firstStart true if no instance of the site can have served requests before
 * @property grace time from the shutdown request until the process must have exited
 * @property senderBytesPerSecond bytes of datagrams that are decoded of one sender in a second
 * @property resources what this process may use
 * @property disabledFeatures features that the operator has switched off
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
    val unprovedVersionPercent: Int,
    val leaseTtl: Duration,
    val usageWindow: Duration?,
    val firstStart: Boolean,
    val grace: Duration,
    val resources: ProcessResources = ProcessResources(Runtime.getRuntime().maxMemory()),
    val disabledFeatures: Set<Feature> = emptySet(),
    val usageLate: Duration? = null,
    val senderBytesPerSecond: Long = SenderLimiter.DEFAULT_BYTES_PER_SECOND,
) {
    /** Registration of this instance. */
    internal val registration: InstanceRecord
        get() = InstanceRecord(instance, peerAddress.host, peerAddress.port, domain, linkMegabits, PeerProtocol.CURRENT)

    /** True unless the operator has switched [feature] off. */
    public fun isEnabled(feature: Feature): Boolean = feature !in disabledFeatures
}
