package io.buckthornlever.daemon.process.control

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationSource
import io.buckthornlever.core.process.lease.LeaseLossReason
import io.buckthornlever.core.process.membership.MemberState
import io.buckthornlever.core.process.membership.MemberUpdate
import io.buckthornlever.core.process.membership.TableRevisions
import io.buckthornlever.daemon.process.ConfigurationHolder
import io.buckthornlever.daemon.process.LogEvent
import io.buckthornlever.gateway.process.EventLog
import java.time.Duration

/** Applies configurations that the control plane activates and logs its other decisions. */
internal class ControlReporter(
    private val configuration: ConfigurationHolder,
    private val log: EventLog,
) : ControlListener {
    override fun onActivated(configuration: Configuration, source: ConfigurationSource) = this.configuration.merge(configuration)

    override fun onRefused(revisions: TableRevisions, findings: List<Finding>) =
        log.write(LogEvent.CONFIGURATION_REFUSED, "revisions" to revisions, "error" to findings.take(MAX_LOGGED))

    override fun onMemberChanged(update: MemberUpdate, previous: MemberState?) =
        log.write(
            LogEvent.MEMBER_CHANGED,
            "member" to update.address.id,
            "state" to update.state,
            "previous" to previous,
            "incarnation" to update.incarnation,
        )

    override fun onPause(length: Duration) = log.write(LogEvent.PAUSE_DETECTED, "milliseconds" to length.toMillis())

    override fun onStoreAvailabilityChanged(available: Boolean) =
        log.write(if (available) LogEvent.STORE_AVAILABLE else LogEvent.STORE_UNAVAILABLE)

    override fun onLeaseGained(name: String, fencing: Long) = log.write(LogEvent.LEASE_GAINED, "lease" to name, "fencing" to fencing)

    override fun onLeaseLost(name: String, reason: LeaseLossReason) = log.write(LogEvent.LEASE_LOST, "lease" to name, "reason" to reason)

    private companion object {
        const val MAX_LOGGED = 10
    }
}
