package io.buckthornlever.core.process

import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min

/**
 * Token bucket that limits the retries and hedges of one route to a share of its requests.
 *
 * Each request deposits [percent] / 100 of a token, and deposits decay exponentially with the time constant [WINDOW_SECONDS], so the
 * bucket holds that share of about the last ten seconds of traffic. This allows one retry for every request that was running in a
 * lost failure domain, while the sustained rate of retries stays at [percent] of the request rate.
 *
 * @property percent retries allowed as a share of requests, in percent; 0 forbids retries
 * @property deposits tokens deposited by requests
 * @property reserve tokens for routes with little traffic; refilled at [RESERVE_PER_SECOND]
 * @property updatedNanos monotonic time in nanoseconds of the last update
 */
public data class RetryBudget(
    val percent: Int,
    val deposits: Double = 0.0,
    val reserve: Double = RESERVE_TOKENS,
    val updatedNanos: Long = 0,
) {
    /** Tokens available now. */
    public val tokens: Double get() = if (percent <= 0) 0.0 else deposits + reserve

    /** Returns the budget after one new request; retries must not be counted. */
    public fun onRequest(nowNanos: Long): RetryBudget {
        val current = advancedTo(nowNanos)
        return current.copy(deposits = current.deposits + percent / 100.0)
    }

    /** Returns the budget after one retry, or null when the retry is not allowed. */
    public fun withdraw(nowNanos: Long): RetryBudget? {
        val current = advancedTo(nowNanos)
        if (current.tokens < 1.0) return null
        val fromDeposits = min(1.0, current.deposits)
        return current.copy(deposits = current.deposits - fromDeposits, reserve = current.reserve - (1.0 - fromDeposits))
    }

    private fun advancedTo(nowNanos: Long): RetryBudget {
        val seconds = max(0L, nowNanos - updatedNanos) / NANOS_PER_SECOND
        return copy(
            deposits = deposits * exp(-seconds / WINDOW_SECONDS),
            reserve = min(RESERVE_TOKENS, reserve + seconds * RESERVE_PER_SECOND),
            updatedNanos = max(updatedNanos, nowNanos),
        )
    }

    public companion object {
        /** Time constant with which deposits decay, in seconds. */
        public const val WINDOW_SECONDS: Double = 10.0

        /** Number of retries that a route without recent traffic may make at once. */
        public const val RESERVE_TOKENS: Double = 3.0

        /** Refill rate of the reserve, in tokens per second. */
        public const val RESERVE_PER_SECOND: Double = 0.1

        private const val NANOS_PER_SECOND = 1e9
    }
}
