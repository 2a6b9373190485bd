package io.buckthornlever.api.serving

/** Kinds of objects in the shared store. */
public enum class StateKind {
    /** The serving table, written by operators. */
    SERVING_TABLE,

    /** Registrations of upstreams, each written by its own upstream. */
    UPSTREAMS,

    /** Failure domains taken out of traffic, written by operators. */
    EVACUATIONS,

    /** Orders to move traffic between versions, written by operators; their status is written by the lease holder. */
    VERSION_ORDERS,

    /** Registrations of entry instances, each written by its own instance. */
    INSTANCES,

    /** Leases, written conditionally by their holders and candidates. */
    LEASES,

    /** Usage of closed accounting windows, created once by the lease holder. */
    USAGE_WINDOWS,

    /** Assignment of quota shares to instances, written conditionally by the lease holder. */
    QUOTA_HOLDINGS,

    /** Ceilings of the quota shares of one instance, each written conditionally by its own instance. */
    QUOTA_CEILINGS,

    /** Evidence on prompt parts that crash upstreams, written conditionally by the lease holder. */
    SUSPECT_PARTS,
}
