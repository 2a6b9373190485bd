package io.buckthornlever.gateway.process

/** What [PeerExchange] needs of its instance. */
internal interface LocalInstance {
    /** True while this instance holds the duty lease. */
    fun holdsDutyLease(): Boolean

    /** What this instance tells the holder of the lease. */
    fun state(): PeerMessage.State

    /** What this instance tells all others while it [holdsDutyLease]; [silent] are the listed instances that are not heard of. */
    fun overview(silent: Set<String>): PeerMessage.Overview

    /** A message has arrived; overviews of former holders are left out. */
    fun onMessage(message: PeerMessage)
}
