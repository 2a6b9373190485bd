package io.buckthornlever.peer.process

import com.github.michaelbull.result.get
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.core.process.membership.MemberState
import io.buckthornlever.core.process.membership.MemberUpdate
import io.buckthornlever.core.process.membership.PeerMessage
import io.buckthornlever.core.process.membership.TableRevisions

/** Test fixtures: codecs, keys, addresses and messages of peers. */
internal object Peers {
    val OLD = "11".repeat(32)
    val NEW = "22".repeat(32)

    fun keys(vararg lines: String): PeerKeys = checkNotNull(PeerKeys.parse(lines.joinToString("\n")).get())

    fun codec(
        id: String,
        keys: PeerKeys = keys(OLD),
        site: String = "pecan-row",
        incarnation: Long = 1,
        counters: PeerCounters = PeerCounters(),
        versions: ProtocolVersions = ProtocolVersions(),
    ): PeerCodec = PeerCodec(PeerIdentity(site, InstanceId(id), incarnation), counters, versions) { keys }

    fun address(id: String, port: Int = 1): MemberAddress = MemberAddress(InstanceId(id), "127.0.0.1", port, FailureDomain("zone-a"))

    fun update(id: String, incarnation: Long = 1_900_000_000): MemberUpdate = MemberUpdate(
        address(id, 65_000),
        incarnation,
        MemberState.SUSPECT,
    )

    fun ping(number: Long, updates: List<MemberUpdate> = emptyList()): PeerMessage =
        PeerMessage.Ping(number, PeerMessage.News(update("a"), TableRevisions(Long.MAX_VALUE, 2, 3), updates))
}
