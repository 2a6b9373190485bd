package io.buckthornlever.bench.process

import io.buckthornlever.api.process.CloudInstanceKind
import io.buckthornlever.core.process.CapacityDemand
import io.buckthornlever.core.process.CapacityPlanner
import io.buckthornlever.core.process.InstanceOffer
import io.buckthornlever.core.process.OfferKey

/** Naive baseline: the cheapest on-demand class in every domain, with the same room for the loss of one domain. */
internal class AllOnDemandPlanning : CapacityPlanner {
    override fun plan(
        demand: CapacityDemand,
        offers: List<InstanceOffer>,
        existing: Map<OfferKey, Int>,
    ): Map<OfferKey, Int> {
        val byDomain = offers.filter { it.key.kind == CloudInstanceKind.ON_DEMAND }.groupBy { it.key.failureDomain }
        val others = (byDomain.size - 1).coerceAtLeast(1)
        val perDomain = (demand.required + others - 1) / others
        return byDomain.values.associate { domain ->
            val cheapest = domain.minBy { it.pricePerCapacity }
            cheapest.key to (perDomain + cheapest.capacity - 1) / cheapest.capacity
        }
    }
}
