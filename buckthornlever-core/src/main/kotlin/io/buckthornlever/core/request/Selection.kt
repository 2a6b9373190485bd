package io.buckthornlever.core.request

import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.UpstreamSpec

/** Result of upstream selection for one request. */
public sealed interface Selection {
    /** Why the candidates were or were not chosen. */
    public val explanation: Explanation

    /** The request goes to [upstream], where a slot is reserved until the call is reported as finished. */
    public data class Chosen(
        val upstream: UpstreamSpec,
        val pool: PoolName,
        override val explanation: Explanation,
    ) : Selection

    /** Upstreams exist, but none can take the request now; nothing was sent. */
    public data class AtCapacity(
        override val explanation: Explanation,
    ) : Selection

    /** No upstream may take the request, whatever the load; nothing was sent. */
    public data class NoUpstream(
        override val explanation: Explanation,
    ) : Selection
}
