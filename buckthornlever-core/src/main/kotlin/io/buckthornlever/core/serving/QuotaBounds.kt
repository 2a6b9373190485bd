package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration

/**
 * Accuracy with which the quotas of client accounts are enforced over all instances.
 *
 * @property window length of the window over which usage is compared with the quota
 * @property overshoot fraction of the quota by which the total usage may exceed it
 * @property slack units by which the total usage may exceed the quota in addition
 */
public data class QuotaBounds(
    val window: Duration = Duration.ofSeconds(8),
    val overshoot: Double = 0.1,
    val slack: Double = 0.0,
) {
    /** Units of [account] that all instances together may grant in one window. */
    public fun limit(account: ServedAccount): Double {
        val nominal = account.ratePerSecond * window.toMillis() / MILLIS_PER_SECOND + account.burst
        return nominal + USED_TOLERANCE_FRACTION * (nominal * overshoot + slack)
    }

    private companion object {
        /** Fraction of the tolerated excess that is granted; the rest covers clocks that run at different rates. */
        const val USED_TOLERANCE_FRACTION = 0.9

        const val MILLIS_PER_SECOND = 1_000.0
    }
}
