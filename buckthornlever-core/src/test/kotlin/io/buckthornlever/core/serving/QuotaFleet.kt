package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.ServedAccount

/**
 * Instances with their shares of one account's quota, and the store that holds the division. Questions between instances are
 * answered at once, or never when one of the two is cut off.
 */
internal class QuotaFleet(
    count: Int,
    private val account: ServedAccount,
    private val bounds: QuotaBounds,
) {
    private val plan = QuotaAllocator(bounds)
    private val incarnations = HashMap<String, Int>()
    private val held = LinkedHashMap<String, LocalQuotaLimiter>()
    private val choices = HashMap<String, QuotaHolderSelector>()
    private val grants = ArrayList<Pair<Long, Double>>()

    /** Instances that exchange no messages with others. */
    val cut = HashSet<String>()

    /** Instances that do not reach the store. */
    val withoutStore = HashSet<String>()

    /** Division in the store. */
    var stored: QuotaHoldings? = null
        private set

    val names: Set<String> get() = held.keys

    init {
        repeat(count) { started("i$it", 0, true) }
        plan(names)
        names.forEach { read(it, 0) }
    }

    fun started(
        name: String,
        nanos: Long,
        firstStart: Boolean = false,
    ) {
        incarnations.merge(name, 1, Int::plus)
        held[name] = LocalQuotaLimiter(name, bounds, nanos, firstStart)
        choices[name] = QuotaHolderSelector(name)
        if (!firstStart) read(name, nanos)
    }

    fun killed(name: String) {
        held.remove(name)
    }

    /** Plans anew as if only [live] were there. */
    fun plan(live: Set<String>) {
        plan.next(stored, listOf(account), live.map { InstanceRecord(it, "h", 1, FailureDomain("d")) })?.let { stored = it }
    }

    /** [name] reads the store. */
    fun read(
        name: String,
        nanos: Long,
    ) {
        val quotas = held[name] ?: return
        if (name in withoutStore) return
        stored?.let { if (it != quotas.holdings) quotas.update(it, nanos) }
        quotas.onConfirmed(nanos)
    }

    /** Lets [name] serve a request of [cost] units; returns true when it is charged. */
    fun serve(
        name: String,
        cost: Double,
        nanos: Long,
    ): Boolean {
        val own = held[name] ?: return false
        val holdings = own.holdings ?: return false
        return charged(name, cost, nanos, false) ||
            ask(name, holdings, cost, nanos, false) ||
            charged(name, cost, nanos, true) ||
            ask(name, holdings, cost, nanos, true)
    }

    private fun ask(
        name: String,
        holdings: QuotaHoldings,
        cost: Double,
        nanos: Long,
        raise: Boolean,
    ): Boolean {
        if (name in cut) return false
        val choice = choices.getValue(name)
        return choice
            .candidates(holdings, account.id, if (raise) 0.0 else cost, nanos) { false }
            .filter { it !in cut && it in held }
            .take(ASKED)
            .any { holder ->
                charged(holder, cost, nanos, raise).also {
                    choice.onReported(account.id, holder, held.getValue(holder).available(account, nanos), nanos)
                }
            }
    }

    /** Most units granted in any window. */
    fun worstWindow(): Double {
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

    private fun charged(
        holder: String,
        cost: Double,
        nanos: Long,
        raise: Boolean,
    ): Boolean {
        val quotas = held.getValue(holder)
        when (quotas.charge(account, cost, nanos)) {
            is QuotaCharge.Granted -> Unit
            QuotaCharge.AboveCeiling -> {
                if (!raise || holder in withoutStore || quotas.holdings != stored) return false
                stored = quotas.withRaisedCeiling(account.id) ?: return false
                read(holder, nanos)
                if (quotas.charge(account, cost, nanos) !is QuotaCharge.Granted) return false
            }
            QuotaCharge.Exhausted -> return false
        }
        grants.add(nanos to cost)
        return true
    }

    private companion object {
        const val ASKED = 5
    }
}
