package io.buckthornlever.peer.process

import io.buckthornlever.core.process.configuration.ConfigurationDelta
import io.buckthornlever.core.process.gossip.Fact
import io.buckthornlever.core.process.membership.MemberUpdate
import io.buckthornlever.core.process.membership.TableRevisions
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Content of a TCP frame: a request or its answer. */
@Serializable
public sealed interface BulkMessage {
    /** Asks whether the process answers; the answer is [Alive]. */
    @Serializable
    @SerialName("q")
    public data object Check : BulkMessage

    /** Answers [Check]. */
    @Serializable
    @SerialName("k")
    public data object Alive : BulkMessage

    /** Asks for [MemberList]. */
    @Serializable
    @SerialName("m")
    public data object MemberPull : BulkMessage

    /** All members and facts that the sender knows. */
    @Serializable
    @SerialName("n")
    public data class MemberList(
        val updates: List<MemberUpdate>,
        val facts: List<Fact>,
    ) : BulkMessage

    /** Asks for [Tables]. */
    @Serializable
    @SerialName("c")
    public data class ConfigurationPull(
        val since: TableRevisions,
    ) : BulkMessage

    /** What the requester lacks of the tables. */
    @Serializable
    @SerialName("t")
    public data class Tables(
        val delta: ConfigurationDelta,
    ) : BulkMessage

    /** Message of another part, such as a hand-over of jobs; [kind] selects its handler. */
    @Serializable
    @SerialName("x")
    public class Opaque(
        public val kind: String,
        @ByteString public val body: ByteArray,
    ) : BulkMessage

    /** The request was understood but not served. */
    @Serializable
    @SerialName("z")
    public data class Declined(
        val detail: String,
    ) : BulkMessage
}
