package io.buckthornlever.gateway.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What instances send each other in datagrams; a lost one is repaired by the next or by asking another instance. */
@Serializable
internal sealed interface PeerMessage {
    /** Instance that sends the message. */
    val sender: String

    /**
     * What an instance tells the holder of the duty lease. Totals and windows are cumulative.
     *
     * @property incarnation start of the process in milliseconds since the epoch
     * @property windows requests that began to run, by accounting window and client account
     * @property breaks contents that broke off runs, with the number of runs
     * @property demand prompt tokens asked since the start, by service
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
     * What the holder of the duty lease tells all instances.
     *
     * @property incarnation start of the process in milliseconds since the epoch
     * @property fencing fencing number of the lease
     * @property windows what the holder itself counted, as in [State]; whoever follows it would not know otherwise
     * @property breaks contents that broke off runs, by the instance that saw it
     * @property silent listed instances that have not been heard of for long
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
     * Asks a holder of quota shares to charge [cost] units to [account]; [id] is unique for the sender and [incarnation].
     *
     * @property raise true when no holder has room below its ceiling
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

    /** Answers the question [id]; [free] units are left. */
    @Serializable
    @SerialName("a")
    data class ChargeResponse(
        override val sender: String,
        val incarnation: Long,
        val id: Long,
        val verdict: Verdict,
        val free: Double,
    ) : PeerMessage

    /** The request behind the question [id] did not run, and its charge may be taken back. */
    @Serializable
    @SerialName("r")
    data class ChargeRefund(
        override val sender: String,
        val incarnation: Long,
        val id: Long,
    ) : PeerMessage

    /** Answer to a question for a charge. */
    @Serializable
    enum class Verdict {
        CHARGED,

        /** There is room above the ceiling, which is raised for a question that says so. */
        LATER,
        NO_ROOM,
    }
}
