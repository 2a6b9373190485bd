package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.PeerMessage

/** Receives authenticated messages. Called on the threads of [PeerSockets]; implementations hand over and return soon. */
public interface PeerHandler {
    /** A datagram of [from] arrived. */
    public fun datagram(from: InstanceId, message: PeerMessage)

    /** The answer to a request of [from] over TCP. */
    public fun answer(from: InstanceId, request: BulkMessage): BulkMessage
}
