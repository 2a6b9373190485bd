package io.buckthornlever.gateway.process

/** This instance as seen by [PeerExchange]: provides the messages to send and handles the received ones. */
internal interface LocalInstance {
    /** True while this instance holds the duty lease. */
    fun holdsDutyLease(): Boolean

    /** State to send to the lease holder. */
    fun state(): PeerMessage.State

    /** Overview to send to all other instances while this one holds the duty lease; [silent] are registered but not heard from. */
    fun overview(silent: Set<String>): PeerMessage.Overview

    /** Status to send to the candidates for the duty lease; null while this instance does not hold it. */
    fun holderStatus(): PeerMessage.HolderStatus?

    /** Handles a received message; not called for overviews of former lease holders. */
    fun onMessage(message: PeerMessage)
}
