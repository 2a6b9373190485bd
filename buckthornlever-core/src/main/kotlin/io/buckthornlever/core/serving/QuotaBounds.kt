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

    /** Time after which a charge no longer counts, wherever it was made: a request may run as long after the charge as credit is valid. */
    public val retention: Duration get() = window + CREDIT_VALIDITY

    public companion object {
        /**
         * Time after which unspent credit of another instance ends. Longer than a slow machine takes to answer; each unit that is charged
         * to another instance counts this much longer than the window, 5% at a window of 8 s.
         */
        public val CREDIT_VALIDITY: Duration = Duration.ofMillis(400)

        /** Fraction of the tolerated excess that is granted; the rest covers clocks that run at different rates. */
        private const val USED_TOLERANCE_FRACTION = 0.9

        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
