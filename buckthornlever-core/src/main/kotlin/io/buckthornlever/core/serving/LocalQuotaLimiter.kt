package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration

/**
 * Enforces the quota shares that this instance holds. A quota is divided into shares with one holder each, and a holder grants
 * only from its own shares. The sum over all instances therefore stays within the quota while instances are partitioned, silent,
 * suspended or restarted.
 *
 * - The new holder of a share grants from it only once the previous holder can no longer do so and the usage that the previous
 *   holder granted has left the window.
 * - A restarted holder no longer knows what earlier processes granted, only that they stayed below the recorded [QuotaCeilings].
 *
 * Not thread-safe.
 *
 * @param startNanos monotonic time at which this process started
 */
public class LocalQuotaLimiter(
    private val self: String,
    private val bounds: QuotaBounds,
    private val startNanos: Long,
    private val ceilings: QuotaCeilings,
) {
    private val usage = HashMap<AccountId, SlidingWindowSum>()
    private val usableAt = HashMap<ShareKey, Long>()
    private var confirmedAt = NEVER
    private var pausedAt = NEVER

    /** The allocation in force; null before the first. */
    public var holdings: QuotaHoldings? = null
        private set

    /** Replaces the allocation in force with the newer [holdings]. */
    public fun update(
        holdings: QuotaHoldings,
        nanos: Long,
    ) {
        this.holdings = holdings
        val next = HashMap<ShareKey, Long>()
        for ((account, holding) in holdings.accounts) {
            holding.shares.forEachIndexed { index, share ->
                val key = ShareKey(account, index, share.generation)
                if (share.holder == self) next[key] = usableAt[key] ?: if (share.generation == 0) nanos else nanos + handover().toNanos()
            }
        }
        usableAt.clear()
        usableAt.putAll(next)
    }

    /** Records that the allocation in force was the newest one at [asOfNanos]. */
    public fun onConfirmed(asOfNanos: Long) {
        // A relay may deliver an allocation from before the start that is older than the one which an earlier process had in force.
        if (asOfNanos < maxOf(pausedAt, startNanos)) return
        confirmedAt = maxOf(confirmedAt, asOfNanos)
    }

    /** Discards the confirmation after a pause that ended at [nanos], since the monotonic clock may not have counted the pause. */
    public fun onPause(nanos: Long) {
        confirmedAt = NEVER
        pausedAt = nanos
    }

    /** Charges [cost] units to the shares that this instance holds of the quota of [account]. */
    public fun charge(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
    ): QuotaCharge {
        val holding = holdings?.accounts?.get(account.id) ?: return QuotaCharge.Exhausted
        val limit = ownLimit(account, holding, nanos)
        val sum = usage.getOrPut(account.id) { SlidingWindowSum(bounds.window.toNanos()) }
        val total = sum.sum(nanos) + cost
        if (total <= limit * ceilings.grantable(account.id, nanos)) {
            sum.add(cost, nanos)
            return QuotaCharge.Granted(account.id, cost, nanos)
        }
        val withinRaised = total <= limit * ceilings.grantableWhenRaised(account.id, nanos)
        return if (limit > 0 && withinRaised) QuotaCharge.AboveCeiling else QuotaCharge.Exhausted
    }

    /** Requests a ceiling under which [cost] units more can be charged to the shares of [account]. */
    public fun requestRaise(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
    ) {
        val fraction = usedFraction(account, cost, nanos) ?: return
        if (fraction <= ceilings.grantableWhenRaised(account.id, nanos)) ceilings.raise(account.id, fraction, nanos)
    }

    /**
     * Fractions of its shares that this instance has granted in the window that ends at [nanos], for all accounts that it has granted
     * anything of. The fraction is 1 while it is not known, for example until the allocation has been confirmed after a pause.
     */
    public fun usedFractions(
        findAccount: (AccountId) -> ServedAccount?,
        nanos: Long,
    ): Map<AccountId, Double> =
        usage.filterValues { it.sum(nanos) > 0 }.mapValues { (id, _) -> findAccount(id)?.let { usedFraction(it, 0.0, nanos) } ?: 1.0 }

    /** Units of [account] that all instances together may grant in one window. */
    public fun limitOf(account: ServedAccount): Double = bounds.limit(account)

    /** Reverts the charge of a request that did not run. */
    public fun refund(
        charge: QuotaCharge.Granted,
        nanos: Long,
    ) {
        usage[charge.account]?.subtract(charge.cost, charge.nanos, nanos)
    }

    /** Units that this instance could charge to [account] now. */
    public fun available(
        account: ServedAccount,
        nanos: Long,
    ): Double = available(account, ceilings.grantable(account.id, nanos), nanos)

    /** Units that this instance could charge to [account] after raising its ceiling. */
    public fun availableWhenRaised(
        account: ServedAccount,
        nanos: Long,
    ): Double = available(account, ceilings.grantableWhenRaised(account.id, nanos), nanos)

    private fun available(
        account: ServedAccount,
        grantable: Double,
        nanos: Long,
    ): Double {
        val holding = holdings?.accounts?.get(account.id) ?: return 0.0
        return maxOf(0.0, ownLimit(account, holding, nanos) * grantable - (usage[account.id]?.sum(nanos) ?: 0.0))
    }

    private fun usedFraction(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
    ): Double? {
        val holding = holdings?.accounts?.get(account.id) ?: return null
        val limit = ownLimit(account, holding, nanos)
        return if (limit <= 0) null else ((usage[account.id]?.sum(nanos) ?: 0.0) + cost) / limit
    }

    private fun ownLimit(
        account: ServedAccount,
        holding: AccountHolding,
        nanos: Long,
    ): Double {
        if (confirmedAt == NEVER || nanos - confirmedAt > MAX_CONFIRMATION_AGE.toNanos()) return 0.0
        val usable =
            holding.shares.withIndex().count { (index, share) ->
                share.holder == self && usableAt[ShareKey(account.id, index, share.generation)]?.let { nanos >= it } ?: false
            }
        return bounds.limit(account) * usable / holding.shares.size
    }

    private fun handover(): Duration = MAX_CONFIRMATION_AGE + bounds.window

    private data class ShareKey(
        val account: AccountId,
        val index: Int,
        val generation: Int,
    )

    private companion object {
        const val NEVER = Long.MIN_VALUE

        /** Age of the last confirmation beyond which nothing is granted: several times the longest wait for an update. */
        val MAX_CONFIRMATION_AGE: Duration = Duration.ofSeconds(20)
    }
}
