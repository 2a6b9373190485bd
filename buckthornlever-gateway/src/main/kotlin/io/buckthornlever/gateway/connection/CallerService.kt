package io.buckthornlever.gateway.connection

import io.buckthornlever.api.serving.CallerLimits

/** Serves the requests that are read from caller connections. */
public interface CallerService {
    /** Limits that apply to new requests. */
    public val limits: CallerLimits

    /** False while [limits] may not be the newest, so that no request may be refused for good because of them. */
    public val areLimitsConfirmed: Boolean get() = true

    /** True while the process shuts down; responses then ask callers to close their connections. */
    public val draining: Boolean

    /** Starts to serve [request]; the response goes to [reply]. */
    public fun serve(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerExchange
}
