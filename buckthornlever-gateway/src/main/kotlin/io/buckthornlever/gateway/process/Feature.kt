package io.buckthornlever.gateway.process

/**
 * Behaviour that an operator can switch on or off alone, to compare or to rule it out as a cause. A feature acts only where the serving
 * table or what upstreams state calls for it.
 *
 * @property key name of the feature in the settings
 * @property isOnByDefault false for a feature that the settings have to name to switch it on
 */
public enum class Feature(
    public val key: String,
    public val isOnByDefault: Boolean = true,
) {
    /** Quota credit is granted in advance to the instances that need it, and urgent requests of an account come first. */
    QUOTA_CREDIT("quota-credit"),

    /** Instances tell each other the load that upstreams state. */
    LOAD_SHARING("load-sharing"),

    /** Candidates are asked for their load before a stream is placed. */
    LOAD_CHECKS("load-checks"),

    /** Upstreams are chosen by the expected time to the first and the last event. */
    EXPECTED_TIME("expected-time"),

    /** Requests that cost callers least are delayed or refused first when there is too little room. */
    OVERLOAD_ADMISSION("overload-admission"),

    /** Upstreams are told the priority of a request. */
    UPSTREAM_PRIORITY("upstream-priority"),

    /** Room within a priority is shared among client accounts by tokens served. */
    ACCOUNT_FAIRNESS("account-fairness"),

    /**
     * Upstreams are ordered by their learned pace. Off by default: on a whole site of 63 engines more are ordered than without it,
     * and fewer requests are served.
     */
    LEARNED_CAPACITY("learned-capacity", isOnByDefault = false),
    ;

    public companion object {
        /** The feature named [key], or null. */
        public fun ofKey(key: String): Feature? = entries.firstOrNull { it.key == key }
    }
}
