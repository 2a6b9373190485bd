package io.buckthornlever.api.serving

/** Platform calls that only the lease holder makes. Each call carries the fencing token of the lease. */
public interface SingletonDuties {
    /** Reports the usage of one accounting window; repeating the same report has no further effect. */
    public fun reportUsage(
        holder: String,
        fencing: Long,
        window: UsageWindow,
        done: (DutyOutcome) -> Unit,
    )

    /** Orders the number of upstreams that [order] states for a service and failure domain. */
    public fun orderUpstreams(
        holder: String,
        fencing: Long,
        order: UpstreamOrder,
        done: (DutyOutcome) -> Unit,
    )
}
