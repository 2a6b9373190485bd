package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount

/**
 * Divides the quotas of client accounts into shares and assigns the shares to instances. A share is large enough for several
 * requests, and no account has more than [MAX_HOLDERS] holders. An instance that holds no share thus finds available quota
 * after asking a few holders, however many instances there are.
 */
public class QuotaAllocator(
    private val bounds: QuotaBounds,
) {
    /**
     * Returns the allocation that replaces [current], or null when nothing changes. Accounts without an allocation get one, and
     * shares held by instances that are not [live] are assigned to others.
     */
    public fun next(
        current: QuotaHoldings?,
        accounts: List<ServedAccount>,
        live: Collection<InstanceRecord>,
    ): QuotaHoldings? {
        if (live.isEmpty()) return null
        val holders = interleaveDomains(live)
        val names = holders.toSet()
        val load = HashMap<String, Int>()
        current?.accounts?.values?.forEach { holding -> holding.shares.forEach { load.merge(it.holder, 1, Int::plus) } }
        val next = LinkedHashMap<AccountId, AccountHolding>()
        current?.accounts?.mapValuesTo(next) { (_, holding) ->
            holding.copy(shares = reassignLostShares(holding.shares, names, holders, load))
        }
        for (account in accounts) {
            if (account.ratePerSecond <= 0 || account.id in next) continue
            next[account.id] = AccountHolding(QuotaCeilings.INITIAL, allocate(account, holders, load))
        }
        return if (next == current?.accounts.orEmpty()) null else QuotaHoldings(next)
    }

    /**
     * Returns the allocation to follow once the store was restored from a copy and has [stored], while [inForce] was followed before.
     * An account that only the latter has keeps its holders: new ones would grant from its quota at once, in addition to what the
     * holders so far have granted in the same window.
     */
    public fun restored(
        stored: QuotaHoldings,
        inForce: QuotaHoldings,
    ): QuotaHoldings = QuotaHoldings(stored.accounts + (inForce.accounts - stored.accounts.keys))

    private fun reassignLostShares(
        shares: List<QuotaShare>,
        live: Set<String>,
        holders: List<String>,
        load: HashMap<String, Int>,
    ): List<QuotaShare> =
        shares.map { share -> if (share.holder in live) share else QuotaShare(leastLoaded(holders, load), share.generation + 1) }

    private fun allocate(
        account: ServedAccount,
        holders: List<String>,
        load: HashMap<String, Int>,
    ): List<QuotaShare> {
        val minShare = if (account.unit == QuotaUnit.TOKENS) MIN_SHARE_TOKENS else MIN_SHARE_REQUESTS
        val count = (bounds.limit(account) / minShare).toInt().coerceIn(1, minOf(MAX_HOLDERS, holders.size))
        val taken = HashSet<String>()
        return List(count) { QuotaShare(leastLoaded(holders.filter { it !in taken }, load).also(taken::add)) }
    }

    private fun leastLoaded(
        holders: List<String>,
        load: HashMap<String, Int>,
    ): String {
        val chosen = holders.minBy { load[it] ?: 0 }
        load.merge(chosen, 1, Int::plus)
        return chosen
    }

    /** Names of the [live] instances, ordered so that consecutive ones are in different failure domains as far as possible. */
    private fun interleaveDomains(live: Collection<InstanceRecord>): List<String> {
        val domains =
            live
                .sortedBy { StableHash.of(it.name) }
                .groupBy { it.domain }
                .values
                .toList()
        return (0 until domains.maxOf { it.size }).flatMap { row -> domains.mapNotNull { it.getOrNull(row)?.name } }
    }

    private companion object {
        /** Enough to spread the charge requests of a large site over several instances. */
        const val MAX_HOLDERS = 16

        /** Several of the large prompts that one engine can hold in memory at once. */
        const val MIN_SHARE_TOKENS = 100_000.0
        const val MIN_SHARE_REQUESTS = 8.0
    }
}
