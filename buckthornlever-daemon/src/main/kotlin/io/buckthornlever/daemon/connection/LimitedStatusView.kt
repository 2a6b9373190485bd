package io.buckthornlever.daemon.connection

import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.core.connection.UpstreamStatus
import io.buckthornlever.core.connection.UpstreamStatusView
import io.buckthornlever.daemon.version.TrafficSnapshot

/** Caps the capacity of upstreams at this instance's share of the limit that the traffic control sets. */
internal class LimitedStatusView(
    private val inner: UpstreamStatusView,
    private val snapshot: () -> TrafficSnapshot,
) : UpstreamStatusView {
    override fun statusOf(upstream: UpstreamSpec): UpstreamStatus {
        val status = inner.statusOf(upstream)
        val limit = snapshot().limits[upstream.id] ?: return status
        return status.copy(capacity = minOf(status.capacity, limit), leaving = status.leaving || limit == 0)
    }
}
