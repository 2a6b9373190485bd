package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.gossip.Fact

/** Input of [Membership]. */
public sealed interface MembershipEvent {
    /** Time has passed; sent every [MembershipSettings.tick]. */
    public data object Tick : MembershipEvent

    /** The platform's lagging list names these entry instances. */
    public data class SeedsListed(
        val seeds: List<MemberAddress>,
    ) : MembershipEvent

    /** An authenticated datagram of [from] arrived. */
    public data class Received(
        val from: InstanceId,
        val message: PeerMessage,
    ) : MembershipEvent

    /** A member answered [MembershipCommand.PullMembers]. */
    public data class MembersReceived(
        val updates: List<MemberUpdate>,
        val facts: List<Fact> = emptyList(),
    ) : MembershipEvent

    /** An open connection to [peer] made no progress. */
    public data class ConnectionSilent(
        val peer: InstanceId,
    ) : MembershipEvent

    /** Result of [MembershipCommand.TestConnection]. */
    public data class ConnectionTested(
        val peer: InstanceId,
        val evidence: ConnectionEvidence,
    ) : MembershipEvent

    /** This instance has learnt [fact] and tells the others. */
    public data class Publish(
        val fact: Fact,
    ) : MembershipEvent

    /** Tables with [revisions] are in effect on this instance. */
    public data class RevisionsChanged(
        val revisions: TableRevisions,
    ) : MembershipEvent

    /** Ask these members for their revisions now. */
    public data class RequestRevisions(
        val peers: List<InstanceId>,
    ) : MembershipEvent

    /** This instance is leaving. */
    public data object LeaveRequested : MembershipEvent
}
