package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Route

/**
 * Request properties that upstream selection depends on.
 *
 * @property prefix hash chain of the prompt's blocks; empty for calls without a prompt
 * @property spreadKey hash of the request identity, which spreads requests without a prompt over the upstreams
 * @property tried upstreams used by earlier attempts of the request
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
