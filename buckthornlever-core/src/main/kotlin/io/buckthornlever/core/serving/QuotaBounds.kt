package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration

/**
 * How exactly the quotas of client accounts are kept over all instances.
 *
 * @property window length of the window in which usage is compared with the quota
 * @property overshoot part of the quota by which the sum may exceed it
 * @property slack units by which the sum may exceed the quota besides
 */
public data class QuotaBounds(
    val window: Duration = Duration.ofSeconds(8),
    val overshoot: Double = 0.1,
    val slack: Double = 0.0,
) {
    /** Units of [account] that all instances together grant in one window. */
    public fun limit(account: ServedAccount): Double {
        val owed = account.ratePerSecond * window.toMillis() / MILLIS_PER_SECOND + account.burst
        return owed + USED_TOLERANCE_FRACTION * (owed * overshoot + slack)
    }

    private companion object {
        /** Part of the tolerated excess that is used; the rest covers clocks that run at different rates. */
        const val USED_TOLERANCE_FRACTION = 0.9

        const val MILLIS_PER_SECOND = 1_000.0
    }
}
