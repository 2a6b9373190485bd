package io.buckthornlever.peer.process

import io.buckthornlever.core.process.configuration.ConfigurationDelta
import io.buckthornlever.core.process.gossip.Fact
import io.buckthornlever.core.process.membership.MemberUpdate
import io.buckthornlever.core.process.membership.TableRevisions
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Content of a TCP frame: a request or the response to it. */
@Serializable
public sealed interface BulkMessage {
    /** Liveness check of the peer process; the response is [Alive]. */
    @Serializable
    @SerialName("q")
    public data object Check : BulkMessage

    /** Response to [Check]. */
    @Serializable
    @SerialName("k")
    public data object Alive : BulkMessage

    /** Requests a [MemberList]. */
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

    /** Requests the [Tables] that are newer than [since]. */
    @Serializable
    @SerialName("c")
    public data class ConfigurationPull(
        val since: TableRevisions,
    ) : BulkMessage

    /** Response to [ConfigurationPull]: the changes of the tables that the requester does not have yet. */
    @Serializable
    @SerialName("t")
    public data class Tables(
        val delta: ConfigurationDelta,
    ) : BulkMessage

    /** Message whose [body] another component encodes, such as a hand-over of jobs; [kind] selects the handler. */
    @Serializable
    @SerialName("x")
    public class Opaque(
        public val kind: String,
        @ByteString public val body: ByteArray,
    ) : BulkMessage

    /** The request was decoded but could not be served; [detail] gives the reason. */
    @Serializable
    @SerialName("z")
    public data class Declined(
        val detail: String,
    ) : BulkMessage
}
