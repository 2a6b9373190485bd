package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaHoldings

/** Chooses the holders that are asked to charge a request which this instance cannot charge itself. Not thread-safe. */
public class QuotaHolderSelector(
    private val self: String,
) {
    private val known = HashMap<Pair<AccountId, String>, Known>()
    private val silentUntil = HashMap<String, Long>()

    /** Holders to ask for [cost] units of [account], the most promising first; [near] tells which ones are close by. */
    public fun candidates(
        holdings: QuotaHoldings,
        account: AccountId,
        cost: Double,
        nanos: Long,
        near: (String) -> Boolean,
    ): List<String> {
        val holders =
            holdings.accounts[account]
                ?.shares
                .orEmpty()
                .mapTo(LinkedHashSet()) { it.holder }
        return holders
            .filter { it != self && nanos >= (silentUntil[it] ?: nanos) }
            .map { it to fresh(account, it, nanos) }
            .filter { (_, free) -> free == null || free >= cost }
            .sortedWith(
                compareByDescending<Pair<String, Double?>> { it.second ?: 0.0 }
                    .thenByDescending { near(it.first) }
                    .thenBy { StableHash.combine(StableHash.of(self), StableHash.of(it.first)) },
            ).map { it.first }
    }

    /** [holder] has [free] units of [account] left. */
    public fun onReported(
        account: AccountId,
        holder: String,
        free: Double,
        nanos: Long,
    ) {
        known[account to holder] = Known(free, nanos)
        silentUntil.remove(holder)
    }

    /** [holder] gave no answer. */
    public fun onTimeout(
        holder: String,
        nanos: Long,
    ) {
        silentUntil[holder] = nanos + SILENT_NANOS
        silentUntil.values.removeIf { it < nanos }
    }

    private fun fresh(
        account: AccountId,
        holder: String,
        nanos: Long,
    ): Double? = known[account to holder]?.takeIf { nanos - it.atNanos <= FRESH_NANOS }?.free

    private class Known(
        val free: Double,
        val atNanos: Long,
    )

    private companion object {
        /** Time for which a word about free room counts; a window's slots move on within it. */
        const val FRESH_NANOS = 150_000_000L

        /** Time for which a silent holder is not asked. */
        const val SILENT_NANOS = 1_000_000_000L
    }
}
