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
    private val plan = QuotaPlan(bounds)
    private val incarnations = HashMap<String, Int>()
    private val held = LinkedHashMap<String, HeldQuotas>()
    private val choices = HashMap<String, HolderChoice>()
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
        held[name] = HeldQuotas(name, bounds, nanos, firstStart)
        choices[name] = HolderChoice(name)
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
        stored?.let { if (it != quotas.holdings) quotas.take(it, nanos) }
        quotas.confirmed(nanos)
    }

    /** Lets [name] serve a request of [cost] units; returns true when it is charged. */
    fun serve(
        name: String,
        cost: Double,
        nanos: Long,
    ): Boolean {
        val own = held[name] ?: return false
        val holdings = own.holdings ?: return false
        if (charged(name, cost, nanos)) return true
        if (name in cut) return false
        return choices
            .getValue(name)
            .order(holdings, account.id, cost, nanos) { false }
            .filter { it !in cut && it in held }
            .take(ASKED)
            .any { holder ->
                charged(holder, cost, nanos).also {
                    choices.getValue(name).heard(account.id, holder, held.getValue(holder).free(account, nanos), nanos)
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
    ): Boolean {
        val quotas = held.getValue(holder)
        when (quotas.charge(account, cost, nanos)) {
            is QuotaCharge.Granted -> Unit
            QuotaCharge.AboveCeiling -> {
                if (holder in withoutStore || quotas.holdings != stored) return false
                stored = quotas.raised(account.id) ?: return false
                read(holder, nanos)
                if (quotas.charge(account, cost, nanos) !is QuotaCharge.Granted) return false
            }
            QuotaCharge.NoRoom -> return false
        }
        grants.add(nanos to cost)
        return true
    }

    private companion object {
        const val ASKED = 5
    }
}
