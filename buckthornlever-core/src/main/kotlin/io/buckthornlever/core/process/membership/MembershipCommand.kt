package io.buckthornlever.core.process.membership

import io.buckthornlever.core.process.gossip.Fact
import java.time.Duration

/** Output of [Membership]. */
public sealed interface MembershipCommand {
    /** Send [message] to [to] as a datagram. */
    public data class Send(
        val to: MemberAddress,
        val message: PeerMessage,
    ) : MembershipCommand

    /** Fetch the whole member list of [from] over TCP and report it with [MembershipEvent.MembersReceived]. */
    public data class PullMembers(
        val from: MemberAddress,
    ) : MembershipCommand

    /** Open a new TCP connection to [to] and report the result with [MembershipEvent.ConnectionTested]. */
    public data class TestConnection(
        val to: MemberAddress,
    ) : MembershipCommand

    /** The state of a member changed; [previous] is null for a new member. */
    public data class MemberChanged(
        val update: MemberUpdate,
        val previous: MemberState?,
    ) : MembershipCommand

    /** [fact] is new or was changed by a join. */
    public data class FactChanged(
        val fact: Fact,
    ) : MembershipCommand

    /** The member [from] reported that tables with [revisions] are in effect on it. */
    public data class RevisionsHeard(
        val from: MemberAddress,
        val revisions: TableRevisions,
    ) : MembershipCommand

    /** This process was paused for [length]. */
    public data class PauseDetected(
        val length: Duration,
    ) : MembershipCommand
}
