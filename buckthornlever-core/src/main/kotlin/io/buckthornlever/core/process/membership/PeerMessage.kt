package io.buckthornlever.core.process.membership

import io.buckthornlever.core.process.gossip.Fact
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** Datagram between entry instances. The envelope names and authenticates the sender. */
@Serializable
public sealed interface PeerMessage {
    /** Gossip that every datagram carries (piggybacking). */
    public val news: News

    /** Asks for an [Ack] with the same [number]. */
    @Serializable
    @SerialName("p")
    @CborArray
    public data class Ping(
        val number: Long,
        override val news: News,
    ) : PeerMessage

    /** Answers a [Ping]; [subject] is the probed member when another member forwards the answer. */
    @Serializable
    @SerialName("a")
    @CborArray
    public data class Ack(
        val number: Long,
        val subject: MemberAddress?,
        override val news: News,
    ) : PeerMessage

    /** Asks the receiver to probe [target] and to forward the answer with [number]. */
    @Serializable
    @SerialName("r")
    @CborArray
    public data class PingRequest(
        val number: Long,
        val target: MemberAddress,
        override val news: News,
    ) : PeerMessage

    /** Carries news only. */
    @Serializable
    @SerialName("g")
    @CborArray
    public data class Gossip(
        override val news: News,
    ) : PeerMessage

    /** The sender is leaving; its [MemberUpdate] is in [news]. */
    @Serializable
    @SerialName("l")
    @CborArray
    public data class Leave(
        override val news: News,
    ) : PeerMessage

    /**
     * State of the sender and the claims and facts that it gossips.
     *
     * @property sender the sender's claim about itself
     * @property revisions revisions of the tables in effect at the sender
     */
    @Serializable
    @CborArray
    public data class News(
        val sender: MemberUpdate,
        val revisions: TableRevisions,
        val updates: List<MemberUpdate> = emptyList(),
        val facts: List<Fact> = emptyList(),
    )
}
