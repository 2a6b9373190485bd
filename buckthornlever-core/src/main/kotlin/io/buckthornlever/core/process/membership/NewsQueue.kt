package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.gossip.Fact
import io.buckthornlever.core.process.gossip.FactKey
import io.buckthornlever.core.process.gossip.RetransmitQueue
import io.buckthornlever.core.process.membership.PeerMessage.News

/** Updates and facts that this instance still has to gossip, each a bounded number of times. */
internal class NewsQueue(
    private val settings: MembershipSettings,
) {
    private val updates = RetransmitQueue<InstanceId, MemberUpdate> { it.estimatedBytes() }
    private val facts = RetransmitQueue<FactKey, Fact> { it.estimatedBytes() }
    private var remainingRevisionSends = 0

    /** True while there is something to gossip. */
    val hasNews: Boolean get() = updates.size > 0 || facts.size > 0 || remainingRevisionSends > 0

    fun put(update: MemberUpdate) = updates.put(update.address.id, update)

    fun put(fact: Fact) = facts.put(fact.key, fact)

    /** Schedules gossip after a change of the own revisions, which every datagram carries. */
    fun scheduleRevisions(members: Int) {
        remainingRevisionSends = sendLimit(members)
    }

    /** News for one datagram: at most [MembershipSettings.gossipBytes], plus [refutableClaim], which the receiver may refute. */
    fun nextNews(own: MemberUpdate, revisions: TableRevisions, members: Int, now: Moment, refutableClaim: MemberUpdate?): News {
        if (remainingRevisionSends > 0) remainingRevisionSends--
        val limit = sendLimit(members)
        val sent = updates.take(settings.gossipBytes, limit)
        val left = settings.gossipBytes - sent.sumOf { it.estimatedBytes() }
        val sentFacts = facts.take(left, limit).filter { it.expiresAtMillis > now.wallMillis }
        val withClaim = if (refutableClaim == null || sent.contains(refutableClaim)) sent else sent + refutableClaim
        return News(own, revisions, withClaim, sentFacts)
    }

    private fun sendLimit(members: Int): Int = settings.retransmitFactor * (Int.SIZE_BITS - members.countLeadingZeroBits())
}
