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

    /** Fetch the whole member list of [from] over TCP and answer with [MembershipEvent.MembersReceived]. */
    public data class PullMembers(
        val from: MemberAddress,
    ) : MembershipCommand

    /** Open a new TCP connection to [to] and answer with [MembershipEvent.ConnectionTested]. */
    public data class TestConnection(
        val to: MemberAddress,
    ) : MembershipCommand

    /** The state of a member changed; [previous] is null for a new member. */
    public data class MemberChanged(
        val update: MemberUpdate,
        val previous: MemberState?,
    ) : MembershipCommand

    /** A fact is new or grew. */
    public data class FactChanged(
        val fact: Fact,
    ) : MembershipCommand

    /** [from] has tables with [revisions] in effect. */
    public data class RevisionsHeard(
        val from: MemberAddress,
        val revisions: TableRevisions,
    ) : MembershipCommand

    /** This process did not run for [length]. */
    public data class PauseDetected(
        val length: Duration,
    ) : MembershipCommand
}
