package io.buckthornlever.core.request

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.CallOutcome
import io.buckthornlever.core.process.UpstreamHealth

/** Chooses the upstream of each request. All calls must come from one thread or be made under one lock. */
public interface UpstreamSelector {
    /** Applies [configuration]; the state of upstreams that stay listed is kept. */
    public fun configure(configuration: Configuration)

    /** Updates the set of live entry instances, including this one. */
    public fun onMembersChanged(live: Collection<InstanceId>)

    /** Chooses an upstream and reserves a slot there; each [Selection.Chosen] must be followed by one call of [onCallFinished]. */
    public fun select(request: RoutingRequest): Selection

    /** Releases the slot at [upstream] and updates its state from [outcome]. */
    public fun onCallFinished(
        upstream: UpstreamId,
        outcome: CallOutcome,
    )

    /** Processes a load report; its figures are older than the call. */
    public fun onLoadReported(
        upstream: UpstreamId,
        report: LoadReport,
    )

    /** Updates the health of [upstream] as observed by probes and calls. */
    public fun onHealthChanged(
        upstream: UpstreamId,
        health: UpstreamHealth,
    )
}
