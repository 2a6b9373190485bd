package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.SuspectEvidence
import io.buckthornlever.core.version.EvidenceDelta
import io.buckthornlever.core.version.VersionStop
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Datagram between instances. A lost one is made up for by the next one, or by asking another instance. */
@Serializable
internal sealed interface PeerMessage {
    /** Instance that sends the message. */
    val sender: String

    /**
     * State that an instance sends to the holder of the duty lease. All counts are cumulative.
     *
     * @property incarnation start time of the sending process in milliseconds since the epoch
     * @property windows number of requests that began to run, by accounting window and client account
     * @property breaks number of runs during which an upstream broke off, by fingerprint of the request content
     * @property demand prompt tokens requested since the start of the process, by service
     */
    @Serializable
    @SerialName("s")
    data class State(
        override val sender: String,
        val incarnation: Long,
        val windows: Map<Long, Map<String, Long>>,
        val breaks: Map<Long, Int>,
        val demand: Map<String, Double>,
    ) : PeerMessage

    /**
     * Overview that the holder of the duty lease sends to all instances.
     *
     * @property incarnation start time of the sending process in milliseconds since the epoch
     * @property fencing fencing token of the lease
     * @property windows the holder's own counts, as in [State]; its successor has no other source for them
     * @property breaks the counts of [State.breaks], by the instance that observed them
     * @property silent registered instances that the holder has not heard from for a long time
     */
    @Serializable
    @SerialName("o")
    data class Overview(
        override val sender: String,
        val incarnation: Long,
        val fencing: Long,
        val windows: Map<Long, Map<String, Long>>,
        val breaks: Map<String, Map<Long, Int>>,
        val silent: Set<String>,
    ) : PeerMessage

    /**
     * What the holder of the duty lease tells the candidates for it, so that one of them can take over soon after the holder has
     * stopped.
     *
     * @property leaseVersion version of the lease record that the holder acts on
     * @property validMillis time for which it acts on that record unless it renews it
     * @property demand prompt tokens per second requested from all instances, by service
     */
    @Serializable
    @SerialName("h")
    data class HolderStatus(
        override val sender: String,
        val leaseVersion: Long,
        val validMillis: Long,
        val demand: Map<String, Double>,
    ) : PeerMessage

    /**
     * Asks a holder of quota shares to charge [cost] units to [account]. [id] is unique within the sender's [incarnation].
     *
     * @property raise true if no holder has room below its ceiling, so that the ceiling should be raised
     */
    @Serializable
    @SerialName("c")
    data class ChargeRequest(
        override val sender: String,
        val incarnation: Long,
        val id: Long,
        val account: String,
        val cost: Double,
        val raise: Boolean,
    ) : PeerMessage

    /** Response to the charge request [id]; [free] is the number of units that the holder can still charge. */
    @Serializable
    @SerialName("a")
    data class ChargeResponse(
        override val sender: String,
        val incarnation: Long,
        val id: Long,
        val verdict: Verdict,
        val free: Double,
    ) : PeerMessage

    /** Tells the holder that the caller's request charged by [id] did not run, so that the charge can be refunded. */
    @Serializable
    @SerialName("r")
    data class ChargeRefund(
        override val sender: String,
        val incarnation: Long,
        val id: Long,
    ) : PeerMessage

    /** Evidence on prompt parts that may crash upstreams, by part: of one instance to the lease holder, or merged from it to all. */
    @Serializable
    @SerialName("p")
    data class SuspectParts(
        override val sender: String,
        val evidence: Map<Long, SuspectEvidence>,
    ) : PeerMessage

    /** Evidence on the versions that operators have ordered services to move to, and the stops that were raised on it. */
    @Serializable
    @SerialName("v")
    data class VersionEvidence(
        override val sender: String,
        val evidence: List<EvidenceDelta>,
        val stops: List<VersionStop>,
    ) : PeerMessage

    /** Result of a charge request. */
    @Serializable
    enum class Verdict {
        CHARGED,

        /** There is room only above the ceiling, which is raised if the request has [ChargeRequest.raise] set. */
        LATER,
        NO_ROOM,
    }
}
