package io.buckthornlever.daemon.process.control

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationSource
import io.buckthornlever.core.process.gossip.Fact
import io.buckthornlever.core.process.lease.LeaseLossReason
import io.buckthornlever.core.process.membership.MemberState
import io.buckthornlever.core.process.membership.MemberUpdate
import io.buckthornlever.core.process.membership.TableRevisions
import java.time.Duration

/** Receives decisions of [ControlPlane] on its control thread; implementations must not block. */
public interface ControlListener {
    /** [configuration] is in effect from now on. */
    public fun onActivated(configuration: Configuration, source: ConfigurationSource) {}

    /** Tables up to [revisions] were refused. */
    public fun onRefused(revisions: TableRevisions, findings: List<Finding>) {}

    /** The state of a member changed; [previous] is null for a new one. */
    public fun onMemberChanged(update: MemberUpdate, previous: MemberState?) {}

    /** [fact] is new or has grown. */
    public fun onFactChanged(fact: Fact) {}

    /** This process was paused for [length]. */
    public fun onPause(length: Duration) {}

    /** The object store has become available or unavailable. */
    public fun onStoreAvailabilityChanged(available: Boolean) {}

    /** This instance now holds the lease [name] with the fencing token [fencing]. */
    public fun onLeaseGained(name: String, fencing: Long) {}

    /** This instance no longer holds the lease [name]. */
    public fun onLeaseLost(name: String, reason: LeaseLossReason) {}
}
