package io.buckthornlever.api.serving

/** Decoded content of a [StateObject]. */
public sealed interface StateValue {
    /** Content of [StateKind.SERVING_TABLE]. */
    public data class Table(
        val table: ServingTable,
    ) : StateValue

    /** Content of [StateKind.UPSTREAMS]. */
    public data class Upstream(
        val upstream: DiscoveredUpstream,
    ) : StateValue

    /** Content of [StateKind.EVACUATIONS]; the object's name is the failure domain. */
    public data object Evacuation : StateValue

    /** Content of [StateKind.VERSION_ORDERS]. */
    public data class Order(
        val order: VersionOrder,
    ) : StateValue

    /** Content of [StateKind.INSTANCES]. */
    public data class Instance(
        val record: InstanceRecord,
    ) : StateValue

    /** Content of [StateKind.LEASES]. */
    public data class Lease(
        val lease: StoredDutyLease,
    ) : StateValue

    /** Content of [StateKind.QUOTA_SNAPSHOTS]. */
    public data class Quota(
        val snapshot: QuotaSnapshot,
    ) : StateValue

    /** Content of [StateKind.USAGE_WINDOWS]. */
    public data class Usage(
        val window: UsageWindow,
    ) : StateValue
}
