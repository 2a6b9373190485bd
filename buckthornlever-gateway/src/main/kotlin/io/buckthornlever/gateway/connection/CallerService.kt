package io.buckthornlever.gateway.connection

import io.buckthornlever.api.serving.CallerLimits

/** Serves the requests that caller connections have read. */
public interface CallerService {
    /** Limits for new requests. */
    public val limits: CallerLimits

    /** True while the process shuts down; answers then ask callers to close their connections. */
    public val draining: Boolean

    /** Starts to serve [request]; the answer goes to [reply]. */
    public fun serve(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerExchange
}
