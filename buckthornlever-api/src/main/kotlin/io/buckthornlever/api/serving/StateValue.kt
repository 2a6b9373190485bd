package io.buckthornlever.api.serving

import io.buckthornlever.api.version.MoveStatus
import kotlinx.serialization.Serializable

/** Decoded content of a [StateObject]. */
@Serializable
public sealed interface StateValue {
    /** Content of [StateKind.SERVING_TABLE]. */
    @Serializable
    public data class Table(
        val table: ServingTable,
    ) : StateValue

    /** Content of [StateKind.UPSTREAMS]. */
    @Serializable
    public data class Upstream(
        val upstream: DiscoveredUpstream,
    ) : StateValue

    /** Content of [StateKind.EVACUATIONS]; the name of the object is the failure domain. */
    @Serializable
    public data object Evacuation : StateValue

    /**
     * Content of [StateKind.VERSION_ORDERS].
     *
     * @property status what this system has recorded with the order; null before the first record
     */
    @Serializable
    public data class Order(
        val order: VersionOrder,
        val status: MoveStatus? = null,
    ) : StateValue

    /** Content of [StateKind.INSTANCES]. */
    @Serializable
    public data class Instance(
        val record: InstanceRecord,
    ) : StateValue

    /** Content of [StateKind.LEASES]. */
    @Serializable
    public data class Lease(
        val lease: StoredDutyLease,
    ) : StateValue

    /** Content of [StateKind.QUOTA_HOLDINGS]. */
    @Serializable
    public data class Quota(
        val holdings: QuotaHoldings,
    ) : StateValue

    /** Content of [StateKind.QUOTA_CEILINGS]. */
    @Serializable
    public data class Ceilings(
        val ceilings: RecordedCeilings,
    ) : StateValue

    /** Content of [StateKind.USAGE_WINDOWS]. */
    @Serializable
    public data class Usage(
        val window: UsageWindow,
    ) : StateValue

    /** Content of [StateKind.SUSPECT_PARTS]: the [evidence] by the id of the prompt part. */
    @Serializable
    public data class SuspectParts(
        val evidence: Map<Long, SuspectEvidence>,
    ) : StateValue
}
