package io.buckthornlever.daemon.process.control

import io.buckthornlever.api.connection.PeerRejection
import io.buckthornlever.core.process.membership.MembershipCounters
import io.buckthornlever.core.process.membership.TableRevisions
import io.buckthornlever.peer.process.PeerCounters
import kotlinx.serialization.Serializable

/**
 * Section of a state dump about membership, configuration and the peer protocol.
 *
 * @property controlLeaseFencing fencing token of the control lease while this instance holds it
 */
@Serializable
internal data class ControlDump(
    val incarnation: Long,
    val revisions: TableRevisions,
    val refusedRevisions: TableRevisions,
    val watchesStore: Boolean,
    val storeIsDown: Boolean,
    val controlLeaseFencing: Long?,
    val facts: Int,
    val members: List<MemberDump>,
    val counters: Map<String, Long>,
    val peerRejections: Map<String, Long>,
) {
    /**
     * Another member.
     *
     * @property silentMillis time since its last message to this instance
     */
    @Serializable
    internal data class MemberDump(
        val id: String,
        val failureDomain: String,
        val state: String,
        val assessment: String,
        val incarnation: Long,
        val revisions: TableRevisions,
        val silentMillis: Long?,
    )

    companion object {
        private const val NANOS_PER_MILLI = 1_000_000L

        fun of(snapshot: ControlSnapshot, peers: PeerCounters, fencing: Long?): ControlDump =
            ControlDump(
                incarnation = snapshot.own.incarnation,
                revisions = snapshot.revisions,
                refusedRevisions = snapshot.refusedRevisions,
                watchesStore = snapshot.watchesStore,
                storeIsDown = snapshot.storeIsDown,
                controlLeaseFencing = fencing,
                facts = snapshot.facts,
                members = snapshot.members.map {
                    MemberDump(
                        id = it.address.id.value,
                        failureDomain = it.address.failureDomain.value,
                        state = it.state.name.lowercase(),
                        assessment = it.assessment.name.lowercase(),
                        incarnation = it.incarnation,
                        revisions = it.revisions,
                        silentMillis = it.silentNanos?.div(NANOS_PER_MILLI),
                    )
                },
                counters = membershipCounts(snapshot.counters) + peerCounts(peers) + ("droppedEvents" to snapshot.droppedEvents),
                peerRejections = PeerRejection.entries.associate { it.name.lowercase() to peers.rejections(it) },
            )

        private fun membershipCounts(counters: MembershipCounters): Map<String, Long> =
            mapOf(
                "probes" to counters.probes,
                "indirectProbes" to counters.indirectProbes,
                "suspicions" to counters.suspicions,
                "deaths" to counters.deaths,
                "refutations" to counters.refutations,
                "revivals" to counters.revivals,
                "pauses" to counters.pauses,
            )

        private fun peerCounts(peers: PeerCounters): Map<String, Long> =
            mapOf(
                "datagramsSent" to peers.datagramsSent.sum(),
                "datagramsReceived" to peers.datagramsReceived.sum(),
                "bytesSent" to peers.bytesSent.sum(),
                "bytesReceived" to peers.bytesReceived.sum(),
                "framesSent" to peers.framesSent.sum(),
                "sendQueueDrops" to peers.sendQueueDrops.sum(),
            )
    }
}
