package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.ServedAccount

/**
 * Instances with their shares of one account's quota, and the store that holds the division. Questions between instances are
 * answered at once, or never when one of the two is cut off.
 */
internal class QuotaSimulation(
    count: Int,
    private val account: ServedAccount,
    private val bounds: QuotaBounds,
) {
    private val plan = QuotaPlan(bounds)
    private val incarnations = HashMap<String, Int>()
    private val limiters = LinkedHashMap<String, HeldQuotas>()
    private val selectors = HashMap<String, HolderChoice>()
    private val grants = ArrayList<Pair<Long, Double>>()

    /** Instances that exchange no messages with others. */
    val partitioned = HashSet<String>()

    /** Instances that do not reach the store. */
    val withoutStore = HashSet<String>()

    /** Division in the store. */
    var storedHoldings: QuotaHoldings? = null
        private set

    val names: Set<String> get() = limiters.keys

    init {
        repeat(count) { start("i$it", 0, true) }
        plan(names)
        names.forEach { readStore(it, 0) }
    }

    fun start(
        name: String,
        nanos: Long,
        firstStart: Boolean = false,
    ) {
        incarnations.merge(name, 1, Int::plus)
        limiters[name] = HeldQuotas(name, bounds, nanos, firstStart)
        selectors[name] = HolderChoice(name)
        if (!firstStart) readStore(name, nanos)
    }

    fun kill(name: String) {
        limiters.remove(name)
    }

    /** Plans anew as if only [live] were there. */
    fun plan(live: Set<String>) {
        plan.next(storedHoldings, listOf(account), live.map { InstanceRecord(it, "h", 1, FailureDomain("d")) })?.let { storedHoldings = it }
    }

    /** [name] reads the store. */
    fun readStore(
        name: String,
        nanos: Long,
    ) {
        val quotas = limiters[name] ?: return
        if (name in withoutStore) return
        storedHoldings?.let { if (it != quotas.holdings) quotas.take(it, nanos) }
        quotas.confirmed(nanos)
    }

    /** Lets [name] serve a request of [cost] units; returns true when it is charged. */
    fun serve(
        name: String,
        cost: Double,
        nanos: Long,
    ): Boolean {
        val own = limiters[name] ?: return false
        val holdings = own.holdings ?: return false
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
        val choice = selectors.getValue(name)
        return choice
            .order(holdings, account.id, if (raise) 0.0 else cost, nanos) { false }
            .filter { it !in partitioned && it in limiters }
            .take(MAX_ASKED)
            .any { holder ->
                tryCharge(holder, cost, nanos, raise).also {
                    choice.heard(account.id, holder, limiters.getValue(holder).free(account, nanos), nanos)
                }
            }
    }

    /** Most units granted in any window. */
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
        val quotas = limiters.getValue(holder)
        when (quotas.charge(account, cost, nanos)) {
            is QuotaCharge.Granted -> Unit
            QuotaCharge.AboveCeiling -> {
                if (!raise || holder in withoutStore || quotas.holdings != storedHoldings) return false
                storedHoldings = quotas.raised(account.id) ?: return false
                readStore(holder, nanos)
                if (quotas.charge(account, cost, nanos) !is QuotaCharge.Granted) return false
            }
            QuotaCharge.NoRoom -> return false
        }
        grants.add(nanos to cost)
        return true
    }

    private companion object {
        const val MAX_ASKED = 5
    }
}
