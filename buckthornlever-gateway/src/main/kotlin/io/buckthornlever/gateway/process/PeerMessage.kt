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
     * @property firstOpenWindow first window whose counts may still rise; those of all earlier ones are final. Null from a release that
     *   does not say so
     * @property ended counts of other processes that have ended; told when this instance stops and to a new holder
     * @property loads load figures that upstreams have stated to the instance since its last message
     * @property accountRates tokens per second that accounts ask the instance for, see `AccountDemand`
     */
    @Serializable
    @SerialName("s")
    data class State(
        override val sender: String,
        val incarnation: Long,
        val windows: Map<Long, Map<String, Long>>,
        val breaks: Map<Long, Int>,
        val demand: Map<String, Double>,
        val firstOpenWindow: Long? = null,
        val ended: List<EndedProcess> = emptyList(),
        val loads: SharedLoads? = null,
        val accountRates: Map<String, Double> = emptyMap(),
    ) : PeerMessage

    /**
     * Overview that the holder of the duty lease sends to all instances.
     *
     * @property incarnation start time of the sending process in milliseconds since the epoch
     * @property fencing fencing token of the lease
     * @property windows the holder's own counts, as in [State]; its successor has no other source for them
     * @property breaks the counts of [State.breaks], by the instance that observed them
     * @property silent registered instances that the holder has not heard from for a long time
     * @property firstOpenWindow as in [State]
     * @property reportedThrough newest window that is reported together with all earlier ones, so that nobody needs to send the counts
     *   of these; null if it is not known
     * @property loads load figures of upstreams that the holder has learned since its last overview
     * @property accountRates tokens per second that accounts ask all instances for, see `AccountDemand`
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
        val firstOpenWindow: Long? = null,
        val reportedThrough: Long? = null,
        val loads: SharedLoads? = null,
        val accountRates: Map<String, Double> = emptyMap(),
    ) : PeerMessage

    /**
     * What the holder of the duty lease tells the candidates for it, so that one of them can take over soon after the holder has
     * stopped.
     *
     * @property leaseVersion version of the lease record that the holder acts on
     * @property validMillis time for which it acts on that record unless it renews it
     * @property demand prompt tokens per second requested from all instances, by service
     * @property isUncertain whether the holder may have written a newer record without having got the response
     * @property ended counts of processes that have ended, which a successor has no other source for
     */
    @Serializable
    @SerialName("h")
    data class HolderStatus(
        override val sender: String,
        val leaseVersion: Long,
        val validMillis: Long,
        val demand: Map<String, Double>,
        val isUncertain: Boolean = false,
        val ended: List<EndedProcess> = emptyList(),
    ) : PeerMessage

    /** Counts of a process that has ended, by accounting window and client account; see [State]. */
    @Serializable
    data class EndedProcess(
        val instance: String,
        val incarnation: Long,
        val windows: Map<Long, Map<String, Long>>,
    )

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

    /**
     * Asks a holder of quota shares for units that the sender may spend for a short time. [id] is unique within the sender's [incarnation].
     * Releases before this message type do not answer it.
     *
     * @property cost units that a request waits for; 0 asks only whether the holder answers and what it has
     * @property ahead further units that the sender expects to need
     * @property priority priority of the request; 0 is the most urgent
     * @property partial true if fewer units than [cost] are of use
     * @property raise true if no holder has room below its ceiling, so that the ceiling should be raised
     */
    @Serializable
    @SerialName("k")
    data class CreditRequest(
        override val sender: String,
        val incarnation: Long,
        val id: Long,
        val account: String,
        val cost: Double,
        val ahead: Double = 0.0,
        val priority: Int = 0,
        val partial: Boolean = false,
        val raise: Boolean = false,
    ) : PeerMessage

    /**
     * Response to the credit request [id].
     *
     * @property granted units that the receiver may spend; 0 if there was no room
     * @property free units that are left for requests of that priority
     * @property waitMillis time after which it makes sense to ask again
     * @property aboveCeiling true if there is room only above the ceiling
     * @property smallCost units below which a request is not held back for more urgent ones
     * @property freeForSmall units that are left for requests of less than [smallCost]
     */
    @Serializable
    @SerialName("l")
    data class CreditResponse(
        override val sender: String,
        val incarnation: Long,
        val id: Long,
        val granted: Double = 0.0,
        val free: Double = 0.0,
        val waitMillis: Long = 0,
        val aboveCeiling: Boolean = false,
        val smallCost: Double = 0.0,
        val freeForSmall: Double = 0.0,
    ) : PeerMessage

    /** Tells the holder that [total] units of the credit granted for [id] were not spent, including those of earlier messages. */
    @Serializable
    @SerialName("m")
    data class CreditReturn(
        override val sender: String,
        val incarnation: Long,
        val id: Long,
        val total: Double,
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
