package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaHoldings

/** Selects the quota holders to ask for a charge that this instance cannot make from its own shares. Not thread-safe. */
public class QuotaHolderSelector(
    private val self: String,
) {
    private val reports = HashMap<Pair<AccountId, String>, Report>()
    private val silentUntil = HashMap<String, Long>()

    /** Holders to ask for [cost] units of [account], those with the most reported units first, then those that [isNear] accepts. */
    public fun candidates(
        holdings: QuotaHoldings,
        account: AccountId,
        cost: Double,
        nanos: Long,
        isNear: (String) -> Boolean,
    ): List<String> {
        val holders =
            holdings.accounts[account]
                ?.shares
                .orEmpty()
                .mapTo(LinkedHashSet()) { it.holder }
        return holders
            .filter { it != self && nanos >= (silentUntil[it] ?: nanos) }
            .map { it to recentlyAvailable(account, it, nanos) }
            .filter { (_, available) -> available == null || available >= cost }
            .sortedWith(
                compareByDescending<Pair<String, Double?>> { it.second ?: 0.0 }
                    .thenByDescending { isNear(it.first) }
                    .thenBy { StableHash.combine(StableHash.of(self), StableHash.of(it.first)) },
            ).map { it.first }
    }

    /** Records that [holder] has [available] units of [account] left. */
    public fun onReported(
        account: AccountId,
        holder: String,
        available: Double,
        nanos: Long,
    ) {
        reports[account to holder] = Report(available, nanos)
        silentUntil.remove(holder)
    }

    /** Records that [holder] did not answer in time. */
    public fun onTimeout(
        holder: String,
        nanos: Long,
    ) {
        silentUntil[holder] = nanos + TIMEOUT_BACKOFF_NANOS
        silentUntil.values.removeIf { it < nanos }
    }

    private fun recentlyAvailable(
        account: AccountId,
        holder: String,
        nanos: Long,
    ): Double? = reports[account to holder]?.takeIf { nanos - it.atNanos <= REPORT_VALID_NANOS }?.available

    private class Report(
        val available: Double,
        val atNanos: Long,
    )

    private companion object {
        /** Time for which a report of available units counts; the slots of the usage window advance within it. */
        const val REPORT_VALID_NANOS = 150_000_000L

        /** Time for which a holder that did not answer is not asked. */
        const val TIMEOUT_BACKOFF_NANOS = 1_000_000_000L
    }
}
