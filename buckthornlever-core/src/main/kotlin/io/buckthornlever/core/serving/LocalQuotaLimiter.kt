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
 * - Of what is requested beyond the shares, the least urgent is refused first. This addresses accounts that send several times their
 *   quota, most of it in requests that matter little.
 *   - A request is granted only if the units that more urgent ones are expected to ask for within [KEEP_HORIZON] stay free, but never
 *     more than leaves the window in that time while the shares are fully used. Large requests leave room for the small ones of a
 *     window, at most [SMALL_SHARE]. No more than both lies idle while anyone asks.
 *   - Nothing is kept free from requests that need less than [SMALL_PART] of the mean units of the more urgent ones: to refuse them gains
 *     next to nothing for those.
 *   - Nothing is kept free for more urgent requests from a priority that has less than its [FLOOR].
 *
 * Not thread-safe.
 *
 * @param startNanos monotonic time at which this process started
 * @param byUrgency false to grant in the order of arrival
 */
public class LocalQuotaLimiter(
    private val self: String,
    private val bounds: QuotaBounds,
    private val startNanos: Long,
    private val ceilings: QuotaCeilings,
    private val byUrgency: Boolean = true,
) {
    private val usage = HashMap<AccountId, QuotaUsage>()
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

    /** Charges [cost] units to the shares that this instance holds of the quota of [account], for a request of [priority]. */
    public fun charge(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
        priority: Int = 0,
    ): QuotaCharge = chargeRequest(account, QuotaCharge.Granted(account.id, cost, nanos, priority))

    /** Repeats a [charge] that was refused; the units do not count as requested once more. */
    public fun chargeAgain(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
        priority: Int,
    ): QuotaCharge = tryCharge(account, QuotaCharge.Granted(account.id, cost, nanos, priority))

    /** Charges [cost] units that another instance spends within [QuotaBounds.CREDIT_VALIDITY]. */
    public fun lend(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
        priority: Int,
    ): QuotaCharge = chargeRequest(account, QuotaCharge.Granted(account.id, cost, nanos, priority, isLent = true))

    /** Charges [cost] units more that the instance expects to need; they do not count as requested. */
    public fun lendAhead(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
        priority: Int,
    ): QuotaCharge = tryCharge(account, QuotaCharge.Granted(account.id, cost, nanos, priority, isLent = true))

    /** Tries [charge] for a new request, which counts as requested, and as refused if it is not granted. */
    private fun chargeRequest(
        account: ServedAccount,
        charge: QuotaCharge.Granted,
    ): QuotaCharge {
        if (holdings?.accounts?.get(account.id) == null) return QuotaCharge.Exhausted
        countRequest(account, charge.cost, charge.priority, charge.nanos)
        val outcome = tryCharge(account, charge)
        if (outcome !is QuotaCharge.Granted) usageOf(account).onRefused(charge.cost, charge.priority, charge.nanos)
        return outcome
    }

    private fun tryCharge(
        account: ServedAccount,
        charge: QuotaCharge.Granted,
    ): QuotaCharge {
        val holding = holdings?.accounts?.get(account.id) ?: return QuotaCharge.Exhausted
        val limit = ownLimit(account, holding, charge.nanos)
        val used = usageOf(account)
        val total = used.sum(charge.nanos) + charge.cost
        val whole = limit * ceilings.grantableWhenRaised(account.id, charge.nanos)
        val kept = keptFree(used, whole, charge.priority, charge.cost, charge.nanos)
        val fits = limit > 0 && total <= whole && (kept <= 0 || total <= whole - kept)
        if (fits && total <= limit * ceilings.grantable(account.id, charge.nanos)) {
            used.add(charge)
            if (charge.cost < smallCost(used, charge.priority, charge.nanos)) used.onSmallGranted(charge.cost, charge.nanos)
            return charge
        }
        return if (fits) QuotaCharge.AboveCeiling else QuotaCharge.Exhausted
    }

    /** Units of [limit] that are kept free from a request of [priority] that needs [cost] units. */
    private fun keptFree(
        used: QuotaUsage,
        limit: Double,
        priority: Int,
        cost: Double,
        nanos: Long,
    ): Double {
        if (!byUrgency || cost < smallCost(used, priority, nanos)) return 0.0
        val leaving = limit * KEEP_HORIZON.toNanos() / bounds.window.toNanos()
        val forSmall = maxOf(0.0, minOf(limit * SMALL_SHARE, used.expectedSmall(bounds.window, nanos)) - used.sumOfSmall(nanos))
        if (used.sumOf(priority, nanos) + cost <= limit * FLOOR) return forSmall
        return forSmall + minOf(leaving, used.expectedBefore(priority, KEEP_HORIZON, nanos))
    }

    private fun countRequest(
        account: ServedAccount,
        cost: Double,
        priority: Int,
        nanos: Long,
    ) {
        val used = usageOf(account)
        used.onRequest(cost, priority, cost < smallCost(used, priority, nanos), nanos)
    }

    /**
     * Units below which nothing is kept free from a request of [priority]. Without more urgent requests, those of [priority] itself count
     * as the more urgent ones of all others.
     */
    public fun smallCost(
        account: AccountId,
        priority: Int,
        nanos: Long,
    ): Double {
        val used = usage[account]
        return if (!byUrgency || used == null) 0.0 else smallCost(used, priority, nanos)
    }

    private fun smallCost(
        used: QuotaUsage,
        priority: Int,
        nanos: Long,
    ): Double {
        val before = used.meanCostBefore(priority, nanos)
        return SMALL_PART * if (before > 0) before else used.meanCostBefore(priority + 1, nanos)
    }

    /** Time until [cost] units could be charged for a request of [priority]; zero if they could be now. */
    public fun timeToRoom(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
        priority: Int,
    ): Duration {
        val missing = cost - availableWhenRaised(account, nanos, priority, cost)
        if (missing <= 0) return Duration.ZERO
        return Duration.ofNanos(maxOf(0, usageOf(account).timeToFree(missing, nanos) - nanos))
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
        usage[charge.account]?.subtract(charge, nanos)
    }

    /** Units that this instance could charge to [account] now for requests of [priority] that need [cost] units each. */
    public fun available(
        account: ServedAccount,
        nanos: Long,
        priority: Int = 0,
        cost: Double = Double.MAX_VALUE,
    ): Double =
        minOf(availableWhenRaised(account, nanos, priority, cost), available(account, ceilings.grantable(account.id, nanos), nanos))

    /** Units that this instance could charge to [account] for requests of [priority] and [cost] after raising its ceiling. */
    public fun availableWhenRaised(
        account: ServedAccount,
        nanos: Long,
        priority: Int = 0,
        cost: Double = Double.MAX_VALUE,
    ): Double {
        val whole = available(account, ceilings.grantableWhenRaised(account.id, nanos), nanos)
        val used = usage[account.id]
        if (used == null || whole <= 0) return whole
        return maxOf(0.0, whole - keptFree(used, whole + used.sum(nanos), priority, cost, nanos))
    }

    private fun available(
        account: ServedAccount,
        grantable: Double,
        nanos: Long,
    ): Double {
        val holding = holdings?.accounts?.get(account.id) ?: return 0.0
        return maxOf(0.0, ownLimit(account, holding, nanos) * grantable - (usage[account.id]?.sum(nanos) ?: 0.0))
    }

    private fun usageOf(account: ServedAccount): QuotaUsage = usage.getOrPut(account.id) { QuotaUsage(bounds) }

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

    private fun handover(): Duration = MAX_CONFIRMATION_AGE + bounds.retention

    private data class ShareKey(
        val account: AccountId,
        val index: Int,
        val generation: Int,
    )

    private companion object {
        const val NEVER = Long.MIN_VALUE

        /** Age of the last confirmation beyond which nothing is granted: several times the longest wait for an update. */
        val MAX_CONFIRMATION_AGE: Duration = Duration.ofSeconds(20)

        /**
         * Time within which the units that are kept free for more urgent requests are used. Within one second, less urgent requests that
         * come more often take a third of the units; four seconds would leave half of a share idle when urgent requests stop.
         */
        val KEEP_HORIZON: Duration = Duration.ofSeconds(2)

        /**
         * Part of the mean units of the more urgent requests below which a request is not held back for them. Calls of 200 units beside
         * streams of 12,000 are; with an eighth, two fifths of the short streams of 2,400 units would be, too, and take half of the units.
         */
        const val SMALL_PART = 1.0 / 32

        /**
         * Largest part of a share that large requests leave to small ones for a window. A burst fills a share within two seconds, and then
         * nothing leaves the window for six.
         */
        const val SMALL_SHARE = 1.0 / 16

        /** Part of a share that requests of each priority may use without regard to more urgent ones, so that none is starved. */
        const val FLOOR = 0.1
    }
}
