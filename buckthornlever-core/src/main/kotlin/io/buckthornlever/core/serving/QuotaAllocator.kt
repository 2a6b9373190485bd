package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount

/**
 * Divides the quotas of client accounts among instances. A share is large enough for several requests, and no account has more
 * than [MAX_HOLDERS] holders, so that an instance that holds none finds room after few questions at any size of the site.
 */
public class QuotaAllocator(
    private val bounds: QuotaBounds,
) {
    /**
     * The division that should follow [current], or null when it may stay: accounts without one get one, and shares of instances
     * that are not among [live] go to others.
     */
    public fun next(
        current: QuotaHoldings?,
        accounts: List<ServedAccount>,
        live: Collection<InstanceRecord>,
    ): QuotaHoldings? {
        if (live.isEmpty()) return null
        val holders = spread(live)
        val names = holders.toSet()
        val load = HashMap<String, Int>()
        current?.accounts?.values?.forEach { holding -> holding.shares.forEach { load.merge(it.holder, 1, Int::plus) } }
        val next = LinkedHashMap<AccountId, AccountHolding>()
        current?.accounts?.mapValuesTo(next) { (_, holding) -> holding.copy(shares = replaced(holding.shares, names, holders, load)) }
        for (account in accounts) {
            if (account.ratePerSecond <= 0 || account.id in next) continue
            next[account.id] = AccountHolding(LocalQuotaLimiter.FIRST_CEILING, divided(account, holders, load))
        }
        return if (next == current?.accounts.orEmpty()) null else QuotaHoldings(next)
    }

    private fun replaced(
        shares: List<QuotaShare>,
        live: Set<String>,
        holders: List<String>,
        load: HashMap<String, Int>,
    ): List<QuotaShare> =
        shares.map { share -> if (share.holder in live) share else QuotaShare(least(holders, load), share.generation + 1) }

    private fun divided(
        account: ServedAccount,
        holders: List<String>,
        load: HashMap<String, Int>,
    ): List<QuotaShare> {
        val least = if (account.unit == QuotaUnit.TOKENS) LEAST_TOKENS else LEAST_REQUESTS
        val count = (bounds.limit(account) / least).toInt().coerceIn(1, minOf(MAX_HOLDERS, holders.size))
        val taken = HashSet<String>()
        return List(count) { QuotaShare(least(holders.filter { it !in taken }, load).also(taken::add)) }
    }

    private fun least(
        holders: List<String>,
        load: HashMap<String, Int>,
    ): String {
        val chosen = holders.minBy { load[it] ?: 0 }
        load.merge(chosen, 1, Int::plus)
        return chosen
    }

    /** Names of [live] instances such that neighbours are in different failure domains. */
    private fun spread(live: Collection<InstanceRecord>): List<String> {
        val domains =
            live
                .sortedBy { StableHash.of(it.name) }
                .groupBy { it.domain }
                .values
                .toList()
        return (0 until domains.maxOf { it.size }).flatMap { row -> domains.mapNotNull { it.getOrNull(row)?.name } }
    }

    private companion object {
        /** Enough to spread the questions of a large site over several instances. */
        const val MAX_HOLDERS = 16

        /** Several of the large prompts that one engine holds in memory at once. */
        const val LEAST_TOKENS = 100_000.0
        const val LEAST_REQUESTS = 8.0
    }
}
