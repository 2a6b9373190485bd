package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateKind

/**
 * Why an instance called the store.
 *
 * @property key value of the label `cause` in the metrics
 */
internal enum class StoreCallCause(
    val key: String,
) {
    /** To follow the shared state, as a relay or where no relay can be followed. */
    FOLLOWED_STATE("followed_state"),

    /** To follow the shared state after the relay gave no usable response. */
    RELAY_FALLBACK("relay_fallback"),
    LEASE("lease"),
    QUOTA("quota"),
    USAGE("usage"),
    REGISTRATION("registration"),

    /** For the other duties of the lease holder, and for what it has recorded. */
    DUTY("duty"),
    ;

    companion object {
        /** Cause of a call that reads or writes one object of [kind]. */
        fun ofObjectCall(kind: StateKind): StoreCallCause =
            when (kind) {
                StateKind.SERVING_TABLE, StateKind.UPSTREAMS, StateKind.EVACUATIONS -> FOLLOWED_STATE
                StateKind.INSTANCES -> REGISTRATION
                StateKind.LEASES -> LEASE
                StateKind.USAGE_WINDOWS -> USAGE
                StateKind.QUOTA_HOLDINGS, StateKind.QUOTA_CEILINGS -> QUOTA
                StateKind.VERSION_ORDERS, StateKind.SUSPECT_PARTS -> DUTY
            }
    }
}
