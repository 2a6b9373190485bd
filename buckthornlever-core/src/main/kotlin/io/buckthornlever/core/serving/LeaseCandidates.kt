package io.buckthornlever.core.serving

/**
 * The few instances that look for a free duty lease often. With all of them, calls to the store would grow with the site for as long
 * as nobody holds the lease.
 */
public object LeaseCandidates {
    private const val COUNT = 3

    /** True when [self] is among the candidates of a site with the [others]. */
    public fun includes(
        self: String,
        others: Collection<String>,
    ): Boolean {
        val own = StableHash.of(self)
        return others.count { StableHash.of(it) < own } < COUNT
    }
}
