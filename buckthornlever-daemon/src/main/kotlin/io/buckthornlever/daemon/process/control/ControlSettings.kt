package io.buckthornlever.daemon.process.control

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.configuration.ConfigurationSettings
import io.buckthornlever.core.process.lease.LeaseSettings
import io.buckthornlever.core.process.membership.MembershipSettings
import java.time.Duration

/**
 * Settings of [ControlPlane].
 *
 * @property port port of the peer protocol between entry instances; 0 picks a free one
 * @property initial tables of the fallback configuration file; empty tables when there is none
 * @property seed seed of the random generator for all random choices
 * @property instanceListInterval interval between reads of the platform's instance list
 */
public data class ControlSettings(
    val site: String,
    val id: InstanceId,
    val failureDomain: FailureDomain,
    val host: String,
    val port: Int = 0,
    val initial: Configuration = Configuration(),
    val seed: Long = 0,
    val membership: MembershipSettings = MembershipSettings(),
    val configuration: ConfigurationSettings = ConfigurationSettings(),
    val lease: LeaseSettings = LeaseSettings(),
    val instanceListInterval: Duration = Duration.ofSeconds(5),
)
