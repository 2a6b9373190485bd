package io.buckthornlever.gateway.process

/**
 * Behaviour that an operator can switch off alone, to compare or to rule it out as a cause. All features are on by default; each acts
 * only where the serving table or what upstreams state calls for it.
 *
 * @property key name of the feature in the settings
 */
public enum class Feature(
    public val key: String,
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

    /** Upstreams are ordered by their learned pace. */
    LEARNED_CAPACITY("learned-capacity"),
    ;

    public companion object {
        /** The feature named [key], or null. */
        public fun ofKey(key: String): Feature? = entries.firstOrNull { it.key == key }
    }
}
