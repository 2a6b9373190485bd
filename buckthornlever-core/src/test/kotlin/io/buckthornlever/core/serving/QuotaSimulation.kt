package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.RecordedCeilings
import io.buckthornlever.api.serving.ServedAccount

/**
 * Simulates instances with their shares of one account's quota, and the store that holds the allocation and the ceilings. Charge
 * requests between instances are answered at once, or never when one of the two is partitioned.
 */
internal class QuotaSimulation(
    count: Int,
    private val account: ServedAccount,
    private val bounds: QuotaBounds,
) {
    private val allocator = QuotaAllocator(bounds)
    private val incarnations = HashMap<String, Int>()
    private val limiters = LinkedHashMap<String, LocalQuotaLimiter>()
    private val ceilings = HashMap<String, QuotaCeilings>()
    private val storedCeilings = HashMap<String, RecordedCeilings>()
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
        val own = QuotaCeilings(bounds.window, nanos)
        ceilings[name] = own
        limiters[name] = LocalQuotaLimiter(name, bounds, nanos, own)
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
        val own = ceilings.getValue(name)
        if (!own.isRecorded) own.onRead(storedCeilings[name] ?: RecordedCeilings(0.0))
        writeCeilings(name, nanos)
    }

    private fun writeCeilings(
        name: String,
        nanos: Long,
    ) {
        val own = ceilings.getValue(name)
        val next = own.next(nanos) { limiters.getValue(name).usedFractions({ account }, nanos) } ?: return
        storedCeilings[name] = next
        own.onWritten(next)
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
            .candidates(holdings, account.id, cost, nanos) { false }
            .filter { it !in partitioned && it in limiters }
            .take(MAX_ASKED)
            .any { holder ->
                tryCharge(holder, cost, nanos, raise).also {
                    selector.onReported(account.id, holder, limiters.getValue(holder).availableWhenRaised(account, nanos), nanos)
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
                if (!raise || holder in withoutStore) return false
                limiter.requestRaise(account, cost, nanos)
                writeCeilings(holder, nanos)
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
