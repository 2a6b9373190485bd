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
 * - A restarted holder no longer knows what it granted, only that it stayed below its ceiling. Until that usage has left the window,
 *   it grants only the fraction above that ceiling.
 *
 * Not thread-safe.
 *
 * @param startNanos monotonic time at which this process started
 * @param firstStart true when no instance can have granted anything before this start
 */
public class LocalQuotaLimiter(
    private val self: String,
    private val bounds: QuotaBounds,
    private val startNanos: Long,
    private val firstStart: Boolean,
) {
    private val usage = HashMap<AccountId, SlidingWindowSum>()
    private val usableAt = HashMap<ShareKey, Long>()

    /** Ceilings from before the start of this process; null until an allocation has been confirmed after the start. */
    private var previousCeilings: Map<AccountId, Double>? = null
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
        if (asOfNanos < pausedAt) return
        confirmedAt = maxOf(confirmedAt, asOfNanos)
        // Before that, a relay may have delivered an allocation older than the one in force before the restart.
        if (previousCeilings == null && confirmedAt >= startNanos) {
            previousCeilings = if (firstStart) emptyMap() else holdings?.accounts.orEmpty().mapValues { it.value.ceiling }
        }
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
        if (total <= limit * grantableFraction(account.id, holding, nanos)) {
            sum.add(cost, nanos)
            return QuotaCharge.Granted(account.id, cost, nanos)
        }
        return if (holding.ceiling < 1 && total <= limit) QuotaCharge.AboveCeiling else QuotaCharge.Exhausted
    }

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
    ): Double {
        val holding = holdings?.accounts?.get(account.id) ?: return 0.0
        val allowed = ownLimit(account, holding, nanos) * grantableFraction(account.id, holding, nanos)
        return maxOf(0.0, allowed - (usage[account.id]?.sum(nanos) ?: 0.0))
    }

    /** Returns the allocation in force with a higher ceiling for [account], or null when the ceiling cannot be raised. */
    public fun withRaisedCeiling(account: AccountId): QuotaHoldings? {
        val current = holdings ?: return null
        val holding = current.accounts[account]?.takeIf { it.ceiling < 1 } ?: return null
        val next = holding.copy(ceiling = minOf(1.0, holding.ceiling + CEILING_STEP))
        return QuotaHoldings(current.accounts + (account to next))
    }

    private fun ownLimit(
        account: ServedAccount,
        holding: AccountHolding,
        nanos: Long,
    ): Double {
        if (confirmedAt == NEVER || previousCeilings == null || nanos - confirmedAt > MAX_CONFIRMATION_AGE.toNanos()) return 0.0
        val usable =
            holding.shares.withIndex().count { (index, share) ->
                share.holder == self && usableAt[ShareKey(account.id, index, share.generation)]?.let { nanos >= it } ?: false
            }
        return bounds.limit(account) * usable / holding.shares.size
    }

    private fun grantableFraction(
        account: AccountId,
        holding: AccountHolding,
        nanos: Long,
    ): Double {
        val previousCeiling = previousCeilings?.get(account)
        if (previousCeiling == null || nanos - startNanos > bounds.window.toNanos()) return holding.ceiling
        return minOf(holding.ceiling, 1 - previousCeiling)
    }

    private fun handover(): Duration = MAX_CONFIRMATION_AGE + bounds.window

    private data class ShareKey(
        val account: AccountId,
        val index: Int,
        val generation: Int,
    )

    public companion object {
        /** Ceiling of a new allocation; normal usage stays below half of a quota. */
        public const val INITIAL_CEILING: Double = 0.5

        private const val CEILING_STEP = 0.15
        private const val NEVER = Long.MIN_VALUE

        /** Age of the last confirmation beyond which nothing is granted: several times the longest wait for an update. */
        private val MAX_CONFIRMATION_AGE: Duration = Duration.ofSeconds(20)
    }
}
