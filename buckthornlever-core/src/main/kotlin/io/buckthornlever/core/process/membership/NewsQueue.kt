package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.gossip.Fact
import io.buckthornlever.core.process.gossip.FactKey
import io.buckthornlever.core.process.gossip.RetransmitQueue
import io.buckthornlever.core.process.membership.PeerMessage.News

/** News that this instance still has to pass on, and the number of times for each. */
internal class NewsQueue(
    private val settings: MembershipSettings,
) {
    private val updates = RetransmitQueue<InstanceId, MemberUpdate> { it.estimatedBytes() }
    private val facts = RetransmitQueue<FactKey, Fact> { it.estimatedBytes() }
    private var remainingRevisionSends = 0

    /** True when a round of gossip is worth its datagrams. */
    val hasNews: Boolean get() = updates.size > 0 || facts.size > 0 || remainingRevisionSends > 0

    fun put(update: MemberUpdate) = updates.put(update.address.id, update)

    fun put(fact: Fact) = facts.put(fact.key, fact)

    /** Own revisions travel in each datagram; after a change they are a reason to send some. */
    fun scheduleRevisions(members: Int) {
        remainingRevisionSends = sendLimit(members)
    }

    /** News for one datagram of at most [MembershipSettings.gossipBytes] plus [refutableClaim], which the receiver may refute. */
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
