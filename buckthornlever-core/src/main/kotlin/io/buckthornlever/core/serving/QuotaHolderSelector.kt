package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaHoldings
import java.util.TreeMap

/**
 * What an instance knows of the other quota holders: who answers, who has room, and when room returns. Selects the holders to ask for
 * units that this instance cannot charge to its own shares.
 *
 * Addresses the load of a site where a third of the instances is cut off while one account sends several times its quota: a holder that
 * does not answer is asked again after a pause that doubles, and then at first only by a message that no request waits for.
 *
 * Not thread-safe.
 */
public class QuotaHolderSelector(
    private val self: String,
) {
    private val reports = HashMap<Pair<AccountId, String>, Reports>()
    private val silences = HashMap<String, Silence>()
    private val smallCosts = HashMap<AccountId, Double>()

    /**
     * Holders to ask for [cost] units of [account] for a request of [priority]: those with the most reported units first, then those that
     * [isNear] accepts. Holders that are silent or were silent last, or that have said that they will not have room yet, are left out.
     */
    public fun candidates(
        holdings: QuotaHoldings,
        account: AccountId,
        cost: Double,
        nanos: Long,
        priority: Int = 0,
        isNear: (String) -> Boolean,
    ): List<String> =
        holders(holdings, account)
            .filter { it !in silences && reports[account to it]?.excludedUntil(cost, priority, nanos) == null }
            .sortedWith(
                compareByDescending<String> {
                    recentlyAvailable(account, it, cost, priority, nanos)?.takeIf { units -> units >= cost }
                        ?: 0.0
                }
                    .thenByDescending { isNear(it) }
                    .thenBy { StableHash.combine(StableHash.of(self), StableHash.of(it)) },
            )

    /** Other instances that hold shares of [account]. */
    public fun holders(
        holdings: QuotaHoldings,
        account: AccountId,
    ): Set<String> =
        holdings.accounts[account]
            ?.shares
            .orEmpty()
            .mapTo(LinkedHashSet()) { it.holder }
            .apply { remove(self) }

    /** True if this instance holds shares of [account]. */
    public fun isHolder(
        holdings: QuotaHoldings,
        account: AccountId,
    ): Boolean =
        holdings.accounts[account]
            ?.shares
            .orEmpty()
            .any { it.holder == self }

    /** Holders that have room for [cost] units above their ceiling, as reported lately. */
    public fun aboveCeiling(
        holdings: QuotaHoldings,
        account: AccountId,
        cost: Double,
        nanos: Long,
    ): List<String> =
        holders(holdings, account).filter { holder ->
            val report = reports[account to holder]?.newest
            holder !in silences && report != null && report.isAboveCeiling && report.available >= cost && nanos < report.untilNanos
        }

    /**
     * Holders that together have [cost] units of [account], as reported lately, although none has them alone; the one with most first.
     * Empty if they do not. A large request may need more than any holder has left of its share.
     */
    public fun together(
        holdings: QuotaHoldings,
        account: AccountId,
        cost: Double,
        priority: Int,
        nanos: Long,
    ): List<String> {
        val parts =
            holders(holdings, account)
                .filter { it !in silences && reports[account to it]?.at(priority) != null }
                .mapNotNull { holder -> recentlyAvailable(account, holder, cost, priority, nanos)?.let { holder to it } }
                .filter { it.second >= cost * MIN_PART }
                .sortedByDescending { it.second }
        return if (parts.sumOf { it.second } < cost) emptyList() else parts.map { it.first }
    }

    /** Holders of [account] whose silence is to be checked now by a message that no request waits for. */
    public fun probesDue(
        holdings: QuotaHoldings,
        account: AccountId,
        nanos: Long,
    ): List<String> = holders(holdings, account).filter { holder -> silences[holder]?.let { it.nextProbeAt <= nanos } ?: false }

    /**
     * Monotonic time at which the first holder of [account] that answers is expected to have room for [cost] units; null if none that
     * answers is known.
     */
    public fun roomExpectedAt(
        holdings: QuotaHoldings,
        account: AccountId,
        cost: Double,
        priority: Int,
        nanos: Long,
    ): Long? =
        holders(holdings, account)
            .filter { it !in silences }
            .mapNotNull { reports[account to it]?.excludedUntil(cost, priority, nanos) }
            .minOrNull()

    /** True if holders hold back nothing from requests of [account] that need [cost] units, as far as they have said. */
    public fun isSmall(
        account: AccountId,
        cost: Double,
    ): Boolean = cost < (smallCosts[account] ?: 0.0)

    /** Age of the newest report on [account]; null without one. */
    public fun reportAge(
        account: AccountId,
        nanos: Long,
    ): Long? = reports.filterKeys { it.first == account }.values.minOfOrNull { nanos - it.newest.atNanos }

    /** Number of holders that do not answer. */
    public val silentCount: Int get() = silences.size

    /**
     * Records that [holder] has [available] units of [account] left for requests of [priority].
     *
     * @param waitNanos time until it expects to have room for more; it is asked again then
     * @param isAboveCeiling true if it has to raise its ceiling first
     */
    public fun onReported(
        account: AccountId,
        holder: String,
        available: Double,
        nanos: Long,
        waitNanos: Long = DEFAULT_WAIT_NANOS,
        priority: Int = 0,
        isAboveCeiling: Boolean = false,
    ): Unit = onAnswer(account, holder, CreditAnswer(0, 0.0, available, waitNanos, isAboveCeiling), priority, nanos)

    /** Records the [answer] of [holder] to a question for a request of [priority]. */
    public fun onAnswer(
        account: AccountId,
        holder: String,
        answer: CreditAnswer,
        priority: Int,
        nanos: Long,
    ) {
        val report = Report(answer, nanos, nanos + minOf(answer.waitNanos, MAX_WAIT_NANOS), priority)
        reports.getOrPut(account to holder) { Reports(report) }.add(report)
        if (answer.smallCost > 0) smallCosts[account] = answer.smallCost
        silences.remove(holder)
    }

    /** Records that [holder] did not answer in time. Several requests that end at once count as one. */
    public fun onTimeout(
        holder: String,
        nanos: Long,
    ) {
        val before = silences[holder]
        if (before != null && nanos < before.nextProbeAt) return
        val pause = if (before == null) FIRST_PAUSE_NANOS else minOf(before.pauseNanos * 2, MAX_PAUSE_NANOS)
        silences[holder] = Silence(pause, nanos + pause)
    }

    /** Records that the silence of [holder] is being checked. */
    public fun onProbed(
        holder: String,
        nanos: Long,
    ) {
        val before = silences[holder] ?: return
        silences[holder] = Silence(before.pauseNanos, maxOf(before.nextProbeAt, nanos + PROBE_NANOS))
    }

    /** Forgets the accounts and instances without shares in [holdings]. */
    public fun retain(holdings: QuotaHoldings) {
        val held = holdings.accounts.flatMapTo(HashSet()) { (account, holding) -> holding.shares.map { account to it.holder } }
        reports.keys.retainAll(held)
        silences.keys.retainAll(held.mapTo(HashSet()) { it.second })
        smallCosts.keys.retainAll(holdings.accounts.keys)
    }

    private fun recentlyAvailable(
        account: AccountId,
        holder: String,
        cost: Double,
        priority: Int,
        nanos: Long,
    ): Double? {
        val known = reports[account to holder] ?: return null
        val report = known.at(priority) ?: known.newest
        if (nanos - report.atNanos > REPORT_VALID_NANOS) return null
        return if (cost < report.smallCost) report.freeForSmall else report.available
    }

    /** What one holder has said of one account, by the priority of the request that it was asked for. */
    private class Reports(
        var newest: Report,
    ) {
        private val byPriority = TreeMap<Int, Report>()

        /** Adds [report] and drops older ones that contradict it: a more urgent request has at least as much room. */
        fun add(report: Report) {
            byPriority.headMap(report.priority).values.removeIf { it.available < report.available }
            byPriority.tailMap(report.priority).values.removeIf { it.available > report.available }
            byPriority[report.priority] = report
            newest = report
        }

        /** Report that bounds the room for a request of [priority] best. */
        fun at(priority: Int): Report? = byPriority.floorEntry(priority)?.value

        /** Monotonic time until which a request of [priority] and [cost] finds no room; null if it may find some now. */
        fun excludedUntil(
            cost: Double,
            priority: Int,
            nanos: Long,
        ): Long? = byPriority.headMap(priority, true).values.mapNotNull { it.excludedUntil(cost, nanos) }.maxOrNull()
    }

    private class Report(
        answer: CreditAnswer,
        val atNanos: Long,
        val untilNanos: Long,
        val priority: Int,
    ) {
        val available = answer.free
        val isAboveCeiling = answer.isAboveCeiling
        val smallCost = answer.smallCost
        val freeForSmall = answer.freeForSmall

        /**
         * Monotonic time until which [cost] units are not available; null if they may be now. A holder without room for some request may
         * have room for a small one, at the latest when a little has left its window.
         */
        fun excludedUntil(
            cost: Double,
            nanos: Long,
        ): Long? {
            val isSmall = cost < smallCost
            val until = if (isSmall) minOf(untilNanos, atNanos + SMALL_WAIT_NANOS) else untilNanos
            val isExcluded = if (isSmall) freeForSmall < cost else isAboveCeiling || available < cost
            return until.takeIf { isExcluded && nanos < until }
        }
    }

    private class Silence(
        val pauseNanos: Long,
        val nextProbeAt: Long,
    )

    private companion object {
        /** Time for which a report of available units ranks a holder. */
        const val REPORT_VALID_NANOS = 1_000_000_000L

        /** Smallest part of a request for which a holder is asked, as [QuotaLender] grants it. */
        const val MIN_PART = 0.125

        /** Time for which a holder without enough units is not asked if it does not say for how long. */
        const val DEFAULT_WAIT_NANOS = 150_000_000L

        /** Time for which a holder without room even for a small request is not asked for one. */
        const val SMALL_WAIT_NANOS = 50_000_000L

        /** Longest wait that is believed; a window may be longer, but units are also returned unspent. */
        const val MAX_WAIT_NANOS = 5_000_000_000L

        /** Pause after the first message without an answer: a long collection of garbage. */
        const val FIRST_PAUSE_NANOS = 250_000_000L

        /** Longest pause, so that a holder is used again within two seconds after it is back. */
        const val MAX_PAUSE_NANOS = 1_500_000_000L

        /** Time within which a holder that is checked is not checked again. */
        const val PROBE_NANOS = 150_000_000L
    }
}
