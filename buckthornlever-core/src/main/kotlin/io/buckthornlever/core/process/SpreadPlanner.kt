package io.buckthornlever.core.process

import io.buckthornlever.api.process.CloudInstanceKind
import io.buckthornlever.api.process.FailureDomain
import kotlin.math.ceil

/**
 * Spreads capacity evenly over the cheapest set of failure domains, at least three if there are that many, so that the loss of any one
 * leaves the required capacity. Each domain has the cheapest on-demand instances for the part that must survive a reclaim wave and the
 * cheapest offers of any kind for the rest.
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
                val cheapest = domains.sortedBy { domain -> cheapestPrice(offers, domain, existing) }.take(count)
                fill(cheapest, ceilDiv(demand.required, count - 1), demand, offers, existing)
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
            val domainOffers = offers.filter { it.key.failureDomain == domain }
            val onDemandOffers = domainOffers.filter { it.key.kind == CloudInstanceKind.ON_DEMAND }
            val covered = addInstances(plan, onDemandOffers, onDemand, existing)
            addInstances(plan, domainOffers, perDomain - covered, existing)
        }
        return plan
    }

    /** Adds instances for at least [capacity] to [plan]; returns the capacity added. */
    private fun addInstances(
        plan: MutableMap<OfferKey, Int>,
        offers: List<InstanceOffer>,
        capacity: Int,
        existing: Map<OfferKey, Int>,
    ): Int {
        if (capacity <= 0 || offers.isEmpty()) return 0
        // Compares whole instances: rounding up can make a larger class cost more than a smaller one with a higher unit price.
        val best = offers.minBy { ceilDiv(capacity, it.capacity) * it.pricePerHour * priceFactor(it, existing) }
        val count = ceilDiv(capacity, best.capacity)
        plan.merge(best.key, count, Int::plus)
        return count * best.capacity
    }

    private fun cheapestPrice(
        offers: List<InstanceOffer>,
        domain: FailureDomain,
        existing: Map<OfferKey, Int>,
    ): Double = offers.filter { it.key.failureDomain == domain }.minOf { it.pricePerCapacity * priceFactor(it, existing) }

    private fun priceFactor(
        offer: InstanceOffer,
        existing: Map<OfferKey, Int>,
    ): Double = if ((existing[offer.key] ?: 0) > 0) EXISTING_PRICE_FACTOR else 1.0

    private fun cost(
        plan: Map<OfferKey, Int>,
        offers: List<InstanceOffer>,
    ): Double = offers.sumOf { (plan[it.key] ?: 0) * it.pricePerHour }

    private fun ceilDiv(
        value: Int,
        by: Int,
    ): Int = (value + by - 1) / by

    private companion object {
        const val MIN_DOMAINS = 3

        /** A replacement must save 15%, since both instances are paid for while the new one starts and warms up. */
        const val EXISTING_PRICE_FACTOR = 0.85
    }
}
