package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.PeerMessage

/** Handles authenticated messages. Called on the threads of [PeerSockets], so implementations must not block for long. */
public interface PeerHandler {
    /** Handles a datagram from [from]. */
    public fun onDatagram(from: InstanceId, message: PeerMessage)

    /** Returns the response to a request that [from] sent over TCP. */
    public fun onRequest(from: InstanceId, request: BulkMessage): BulkMessage
}
