package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.InstanceRecord

/** This instance as seen by [PeerExchange]: provides the messages to send and handles the received ones. */
internal interface LocalInstance {
    /** True while this instance holds the duty lease. */
    fun holdsDutyLease(): Boolean

    /** State to send to the lease holder. */
    fun state(): PeerMessage.State

    /** State to send to an instance that may lack what others have told this one: the counts of processes that have ended. */
    fun completeState(): List<PeerMessage.State>

    /** Overview to send to all other instances while this one holds the duty lease; [silent] are registered but not heard from. */
    fun overview(silent: Set<String>): PeerMessage.Overview

    /** Registration of this instance. */
    val record: InstanceRecord

    /** Messages to send to the candidates for the duty lease; none while this instance does not hold it. */
    fun holderStatus(): List<PeerMessage.HolderStatus>

    /** Handles a received message of a version of [PeerProtocol]; not called for overviews of former lease holders. */
    fun onMessage(
        message: PeerMessage,
        version: Int,
    )
}
