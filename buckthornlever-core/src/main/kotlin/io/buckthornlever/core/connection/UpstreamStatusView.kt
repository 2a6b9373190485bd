package io.buckthornlever.core.connection

import io.buckthornlever.api.process.UpstreamSpec

/** Read access to the status of upstreams. */
public fun interface UpstreamStatusView {
    /** Returns the current status of [upstream]. */
    public fun statusOf(upstream: UpstreamSpec): UpstreamStatus
}
