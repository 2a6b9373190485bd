package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.InstanceRecord

/**
 * Selects the few instances that often check whether the duty lease is free. If all instances did, the calls to the shared store
 * would grow with their number while nobody holds the lease. The candidates are in different failure domains as far as possible,
 * since the instances of one domain may lose the store together.
 */
public object LeaseCandidates {
    private const val MAX_CANDIDATES = 3

    /** Names of the candidates among [instances]. */
    public fun of(instances: Collection<InstanceRecord>): Set<String> {
        val hashes = instances.associateWith { StableHash.of(it.name) }
        val inOrder = instances.sortedWith(compareBy({ hashes.getValue(it) }, { it.name }))
        val firstOfDomains = inOrder.distinctBy { it.domain }.take(MAX_CANDIDATES)
        return (firstOfDomains + (inOrder - firstOfDomains.toSet())).take(MAX_CANDIDATES).mapTo(LinkedHashSet()) { it.name }
    }
}
