package io.buckthornlever.core.process

import io.buckthornlever.api.process.CloudInstanceKind
import io.buckthornlever.api.process.FailureDomain
import kotlin.math.ceil

/**
 * Spreads capacity evenly over the cheapest set of at least three failure domains, so that any one can be lost. Each domain's share
 * consists of cheapest on-demand instances for what must survive a reclaim wave and of the cheapest offers for the rest.
 */
public class SpreadPlanner : CapacityPlanner {
    override fun plan(
        demand: CapacityDemand,
        offers: List<InstanceOffer>,
        existing: Map<OfferKey, Int>,
    ): Map<OfferKey, Int> {
        val domains = offers.map { it.key.failureDomain }.distinct().sorted()
        if (demand.required <= 0 || domains.isEmpty()) return emptyMap()
        if (domains.size == 1) return fill(domains, demand.required, demand, offers, existing)
        return (minOf(MIN_DOMAINS, domains.size)..domains.size)
            .map { count ->
                val cheapest = domains.sortedBy { domain -> cheapest(offers, domain, existing) }.take(count)
                fill(cheapest, divideUp(demand.required, count - 1), demand, offers, existing)
            }.minBy { plan -> cost(plan, offers) }
    }

    private fun fill(
        domains: List<FailureDomain>,
        perDomain: Int,
        demand: CapacityDemand,
        offers: List<InstanceOffer>,
        existing: Map<OfferKey, Int>,
    ): Map<OfferKey, Int> {
        val plan = sortedMapOf<OfferKey, Int>()
        val onDemand = ceil(demand.required * demand.onDemandShare / domains.size).toInt().coerceAtMost(perDomain)
        domains.forEach { domain ->
            val here = offers.filter { it.key.failureDomain == domain }
            val surviving = here.filter { it.key.kind == CloudInstanceKind.ON_DEMAND }
            val covered = add(plan, surviving, onDemand, existing)
            add(plan, here, perDomain - covered, existing)
        }
        return plan
    }

    /** Adds instances for [capacity] to [plan]; returns the capacity added. */
    private fun add(
        plan: MutableMap<OfferKey, Int>,
        offers: List<InstanceOffer>,
        capacity: Int,
        existing: Map<OfferKey, Int>,
    ): Int {
        if (capacity <= 0 || offers.isEmpty()) return 0
        // Rounding up to whole instances can make a larger class dearer than a smaller one with a higher price per place.
        val best = offers.minBy { divideUp(capacity, it.capacity) * it.pricePerHour * preference(it, existing) }
        val count = divideUp(capacity, best.capacity)
        plan.merge(best.key, count, Int::plus)
        return count * best.capacity
    }

    private fun cheapest(
        offers: List<InstanceOffer>,
        domain: FailureDomain,
        existing: Map<OfferKey, Int>,
    ): Double = offers.filter { it.key.failureDomain == domain }.minOf { it.pricePerCapacity * preference(it, existing) }

    private fun preference(
        offer: InstanceOffer,
        existing: Map<OfferKey, Int>,
    ): Double = if ((existing[offer.key] ?: 0) > 0) KEEP_FACTOR else 1.0

    private fun cost(
        plan: Map<OfferKey, Int>,
        offers: List<InstanceOffer>,
    ): Double = offers.sumOf { (plan[it.key] ?: 0) * it.pricePerHour }

    private fun divideUp(
        value: Int,
        by: Int,
    ): Int = (value + by - 1) / by

    private companion object {
        const val MIN_DOMAINS = 3

        /** A replacement has to save 15%, since both instances are paid for while the new one starts and warms up. */
        const val KEEP_FACTOR = 0.85
    }
}
