package io.buckthornlever.api.serving

/** Calls of the platform that only the lease holder makes. */
public interface SingletonDuties {
    /** Reports the usage of one window; an exact repeat does no harm. */
    public fun reportUsage(
        holder: String,
        fencing: Long,
        window: UsageWindow,
        done: (DutyOutcome) -> Unit,
    )

    /** Orders that [count] upstreams of [service] run in [domain]. */
    public fun orderUpstreams(
        holder: String,
        fencing: Long,
        order: UpstreamOrder,
        done: (DutyOutcome) -> Unit,
    )
}
