package io.buckthornlever.core.serving

/**
 * Selects the few instances that often check whether the duty lease is free. If all instances did, the calls to the shared store
 * would grow with their number while nobody holds the lease.
 */
public object LeaseCandidates {
    private const val MAX_CANDIDATES = 3

    /** True when [self] is a candidate among itself and the [others]. */
    public fun includes(
        self: String,
        others: Collection<String>,
    ): Boolean {
        val own = StableHash.of(self)
        return others.count { StableHash.of(it) < own } < MAX_CANDIDATES
    }
}
