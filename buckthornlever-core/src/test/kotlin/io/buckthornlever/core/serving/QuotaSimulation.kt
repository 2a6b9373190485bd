package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.ServedAccount

/**
 * Simulates instances with their shares of one account's quota, and the store that holds the allocation. Charge requests between
 * instances are answered at once, or never when one of the two is partitioned.
 */
internal class QuotaSimulation(
    count: Int,
    private val account: ServedAccount,
    private val bounds: QuotaBounds,
) {
    private val allocator = QuotaAllocator(bounds)
    private val incarnations = HashMap<String, Int>()
    private val limiters = LinkedHashMap<String, LocalQuotaLimiter>()
    private val selectors = HashMap<String, QuotaHolderSelector>()
    private val grants = ArrayList<Pair<Long, Double>>()

    /** Instances that cannot exchange messages with others. */
    val partitioned = HashSet<String>()

    /** Instances that cannot reach the store. */
    val withoutStore = HashSet<String>()

    /** Allocation in the store. */
    var stored: QuotaHoldings? = null
        private set

    val names: Set<String> get() = limiters.keys

    init {
        repeat(count) { start("i$it", 0, true) }
        reallocate(names)
        names.forEach { readStore(it, 0) }
    }

    fun start(
        name: String,
        nanos: Long,
        firstStart: Boolean = false,
    ) {
        incarnations.merge(name, 1, Int::plus)
        limiters[name] = LocalQuotaLimiter(name, bounds, nanos, firstStart)
        selectors[name] = QuotaHolderSelector(name)
        if (!firstStart) readStore(name, nanos)
    }

    fun kill(name: String) {
        limiters.remove(name)
    }

    /** Replaces the allocation in the store as if only the instances [live] were alive. */
    fun reallocate(live: Set<String>) {
        allocator.next(stored, listOf(account), live.map { InstanceRecord(it, "h", 1, FailureDomain("d")) })?.let { stored = it }
    }

    /** Lets the instance [name] read the store. */
    fun readStore(
        name: String,
        nanos: Long,
    ) {
        val limiter = limiters[name] ?: return
        if (name in withoutStore) return
        stored?.let { if (it != limiter.holdings) limiter.update(it, nanos) }
        limiter.onConfirmed(nanos)
    }

    /** Lets the instance [name] serve a request of [cost] units; returns true when the request is charged. */
    fun serve(
        name: String,
        cost: Double,
        nanos: Long,
    ): Boolean {
        val limiter = limiters[name] ?: return false
        val holdings = limiter.holdings ?: return false
        return tryCharge(name, cost, nanos, false) ||
            ask(name, holdings, cost, nanos, false) ||
            tryCharge(name, cost, nanos, true) ||
            ask(name, holdings, cost, nanos, true)
    }

    private fun ask(
        name: String,
        holdings: QuotaHoldings,
        cost: Double,
        nanos: Long,
        raise: Boolean,
    ): Boolean {
        if (name in partitioned) return false
        val selector = selectors.getValue(name)
        return selector
            .candidates(holdings, account.id, if (raise) 0.0 else cost, nanos) { false }
            .filter { it !in partitioned && it in limiters }
            .take(MAX_ASKED)
            .any { holder ->
                tryCharge(holder, cost, nanos, raise).also {
                    selector.onReported(account.id, holder, limiters.getValue(holder).available(account, nanos), nanos)
                }
            }
    }

    /** Largest number of units granted in any window. */
    fun maxWindowUsage(): Double {
        var worst = 0.0
        var sum = 0.0
        var first = 0
        for ((at, cost) in grants) {
            sum += cost
            while (grants[first].first <= at - bounds.window.toNanos()) sum -= grants[first++].second
            worst = maxOf(worst, sum)
        }
        return worst
    }

    /** Units granted from [fromNanos] to [toNanos]. */
    fun granted(
        fromNanos: Long,
        toNanos: Long,
    ): Double = grants.filter { it.first in fromNanos..toNanos }.sumOf { it.second }

    private fun tryCharge(
        holder: String,
        cost: Double,
        nanos: Long,
        raise: Boolean,
    ): Boolean {
        val limiter = limiters.getValue(holder)
        when (limiter.charge(account, cost, nanos)) {
            is QuotaCharge.Granted -> Unit
            QuotaCharge.AboveCeiling -> {
                if (!raise || holder in withoutStore || limiter.holdings != stored) return false
                stored = limiter.withRaisedCeiling(account.id) ?: return false
                readStore(holder, nanos)
                if (limiter.charge(account, cost, nanos) !is QuotaCharge.Granted) return false
            }
            QuotaCharge.Exhausted -> return false
        }
        grants.add(nanos to cost)
        return true
    }

    private companion object {
        const val MAX_ASKED = 5
    }
}
