package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId

/** Something the router has found out and the other entry instances should learn. */
public sealed interface RoutingEvent {
    /** The upstream bears much less than before, although nobody announced it. */
    public data class BecameCold(
        val upstream: UpstreamId,
    ) : RoutingEvent
}
