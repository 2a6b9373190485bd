package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId

/** Observation of the router that is to be sent to the other entry instances. */
public sealed interface RoutingEvent {
    /** The upstream has become cold without an announcement: it accepts much less load than before. */
    public data class BecameCold(
        val upstream: UpstreamId,
    ) : RoutingEvent
}
