package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration

/**
 * The shares of quotas that this instance holds. A quota is divided into shares with one holder each, and a holder grants from its
 * own shares alone, so that the sum over all instances keeps the quota whatever is cut off, silent, frozen or restarted.
 *
 * - A share that changes its holder is granted from only once the holder before cannot do so any more, and what that one granted
 *   has left the window.
 * - A restarted holder has forgotten what it granted. Until that has left the window it grants only the part above the ceiling
 *   under which it stayed before.
 *
 * Not thread-safe.
 *
 * @param startNanos monotonic time of this process's start
 * @param firstStart true when no instance can have granted anything before
 */
public class LocalQuotaLimiter(
    private val self: String,
    private val bounds: QuotaBounds,
    private val startNanos: Long,
    private val firstStart: Boolean,
) {
    private val used = HashMap<AccountId, SlidingSum>()
    private val owned = HashMap<ShareKey, Long>()
    private var forgotten: Map<AccountId, Double>? = null
    private var confirmedAt = UNCONFIRMED
    private var pausedAt = UNCONFIRMED

    /** The division in force, null before the first. */
    public var holdings: QuotaHoldings? = null
        private set

    /** Takes a division that is newer than the one in force. */
    public fun update(
        holdings: QuotaHoldings,
        nanos: Long,
    ) {
        this.holdings = holdings
        val now = HashMap<ShareKey, Long>()
        for ((account, holding) in holdings.accounts) {
            holding.shares.forEachIndexed { index, share ->
                val key = ShareKey(account, index, share.generation)
                if (share.holder == self) now[key] = owned[key] ?: if (share.generation == 0) nanos else nanos + handover().toNanos()
            }
        }
        owned.clear()
        owned.putAll(now)
    }

    /** The division in force was the newest at [asOfNanos]. */
    public fun onConfirmed(asOfNanos: Long) {
        if (asOfNanos < pausedAt) return
        confirmedAt = maxOf(confirmedAt, asOfNanos)
        // A relay may tell an older division than this process's predecessor knew.
        if (forgotten == null && confirmedAt >= startNanos) {
            forgotten = if (firstStart) emptyMap() else holdings?.accounts.orEmpty().mapValues { it.value.ceiling }
        }
    }

    /** The machine stood still until [nanos], for a time that the steady clock may not have counted. */
    public fun onPause(nanos: Long) {
        confirmedAt = UNCONFIRMED
        pausedAt = nanos
    }

    /** Charges [cost] units to the shares of [account] that this instance holds. */
    public fun charge(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
    ): QuotaCharge {
        val holding = holdings?.accounts?.get(account.id) ?: return QuotaCharge.Exhausted
        val share = share(account, holding, nanos)
        val sum = used.getOrPut(account.id) { SlidingSum(bounds.window.toNanos()) }
        val total = sum.sum(nanos) + cost
        if (total <= share * allowedPart(account.id, holding, nanos)) {
            sum.add(cost, nanos)
            return QuotaCharge.Granted(account.id, cost, nanos)
        }
        return if (holding.ceiling < 1 && total <= share) QuotaCharge.AboveCeiling else QuotaCharge.Exhausted
    }

    /** Takes back the charge of a request that did not run. */
    public fun refund(
        charge: QuotaCharge.Granted,
        nanos: Long,
    ) {
        used[charge.account]?.takeBack(charge.cost, charge.nanos, nanos)
    }

    /** Units of [account] that this instance could charge now. */
    public fun available(
        account: ServedAccount,
        nanos: Long,
    ): Double {
        val holding = holdings?.accounts?.get(account.id) ?: return 0.0
        val allowed = share(account, holding, nanos) * allowedPart(account.id, holding, nanos)
        return maxOf(0.0, allowed - (used[account.id]?.sum(nanos) ?: 0.0))
    }

    /** The division in force with a higher ceiling for [account], null when it cannot be raised. */
    public fun withRaisedCeiling(account: AccountId): QuotaHoldings? {
        val current = holdings ?: return null
        val holding = current.accounts[account]?.takeIf { it.ceiling < 1 } ?: return null
        val next = holding.copy(ceiling = minOf(1.0, holding.ceiling + CEILING_STEP))
        return QuotaHoldings(current.accounts + (account to next))
    }

    private fun share(
        account: ServedAccount,
        holding: AccountHolding,
        nanos: Long,
    ): Double {
        if (confirmedAt == UNCONFIRMED || forgotten == null || nanos - confirmedAt > CONFIRMATION.toNanos()) return 0.0
        val usable =
            holding.shares.withIndex().count { (index, share) ->
                share.holder == self && owned[ShareKey(account.id, index, share.generation)]?.let { nanos >= it } ?: false
            }
        return bounds.limit(account) * usable / holding.shares.size
    }

    private fun allowedPart(
        account: AccountId,
        holding: AccountHolding,
        nanos: Long,
    ): Double {
        val before = forgotten?.get(account)
        if (before == null || nanos - startNanos > bounds.window.toNanos()) return holding.ceiling
        return minOf(holding.ceiling, 1 - before)
    }

    private fun handover(): Duration = CONFIRMATION + bounds.window

    private data class ShareKey(
        val account: AccountId,
        val index: Int,
        val generation: Int,
    )

    public companion object {
        /** Ceiling of a new division: usual days stay below half of a quota. */
        public const val FIRST_CEILING: Double = 0.5

        private const val CEILING_STEP = 0.15
        private const val UNCONFIRMED = Long.MIN_VALUE

        /** Age of the division beyond which nothing is granted; several of the longest waits for news of it. */
        private val CONFIRMATION: Duration = Duration.ofSeconds(20)
    }
}
