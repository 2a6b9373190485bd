package io.buckthornlever.api.serving

/** Kinds of objects in the shared store. */
public enum class StateKind {
    /** The serving table, written by operators. */
    SERVING_TABLE,

    /** Upstreams, written by themselves. */
    UPSTREAMS,

    /** Failure domains that get no traffic, written by operators. */
    EVACUATIONS,

    /** Orders to move traffic between versions, written by operators; their status is written by the lease holder. */
    VERSION_ORDERS,

    /** Addresses of entry instances, each written by its own instance. */
    INSTANCES,

    /** Leases, written by their holders and candidates under a condition. */
    LEASES,

    /** Usage of closed windows, created once by the lease holder. */
    USAGE_WINDOWS,

    /** Which instances grant the quotas of client accounts, written under a condition by the lease holder and by holders of shares. */
    QUOTA_HOLDINGS,
}
