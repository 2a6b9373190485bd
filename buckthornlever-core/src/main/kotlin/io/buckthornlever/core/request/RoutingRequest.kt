package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Route

/**
 * What selection needs to know about a request.
 *
 * @property prefix chain of hashes of the prompt's blocks; empty for calls without a prompt
 * @property spreadKey hash of the request's identity, spreads requests without a prompt
 * @property tried upstreams that earlier attempts of the request have used
 */
public class RoutingRequest(
    public val route: Route,
    public val prefix: LongArray = NO_PREFIX,
    public val spreadKey: Long = 0,
    public val tried: List<UpstreamId> = emptyList(),
) {
    private companion object {
        val NO_PREFIX = LongArray(0)
    }
}
