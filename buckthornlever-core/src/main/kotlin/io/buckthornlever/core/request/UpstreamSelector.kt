package io.buckthornlever.core.request

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.CallOutcome
import io.buckthornlever.core.process.UpstreamHealth

/** Chooses the upstream of each request. All calls are made from one thread or under one lock. */
public interface UpstreamSelector {
    /** Puts [configuration] into effect; what is known about upstreams that stay listed is kept. */
    public fun configure(configuration: Configuration)

    /** Takes the live entry instances, this one included. */
    public fun onMembersChanged(live: Collection<InstanceId>)

    /** Chooses an upstream and reserves the place there; each [Selection.Chosen] is followed by one [onCallFinished]. */
    public fun select(request: RoutingRequest): Selection

    /** Releases the place at [upstream] and learns from the outcome. */
    public fun onCallFinished(
        upstream: UpstreamId,
        outcome: CallOutcome,
    )

    /** Takes a load report, which lags behind reality. */
    public fun onLoadReported(
        upstream: UpstreamId,
        report: LoadReport,
    )

    /** Takes what probes and calls show about the upstream's health. */
    public fun onHealthChanged(
        upstream: UpstreamId,
        health: UpstreamHealth,
    )
}
