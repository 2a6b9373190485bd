package io.buckthornlever.bench.request

import io.buckthornlever.api.process.AccountId

/** Weighted max-min fair division: nobody gets more than the demand, the rest is divided by weight. */
internal object FairShares {
    fun divide(
        capacity: Double,
        demands: Map<AccountId, Double>,
        weights: Map<AccountId, Double>,
    ): Map<AccountId, Double> {
        val shares = HashMap<AccountId, Double>()
        val open = demands.keys.toMutableSet()
        var left = capacity
        while (open.isNotEmpty()) {
            val perWeight = left / open.sumOf { weights.getValue(it) }
            val satisfied = open.filter { demands.getValue(it) <= perWeight * weights.getValue(it) }
            if (satisfied.isEmpty()) {
                open.forEach { shares[it] = perWeight * weights.getValue(it) }
                break
            }
            satisfied.forEach { shares[it] = demands.getValue(it) }
            left -= satisfied.sumOf { demands.getValue(it) }
            open.removeAll(satisfied.toSet())
        }
        return shares
    }
}
