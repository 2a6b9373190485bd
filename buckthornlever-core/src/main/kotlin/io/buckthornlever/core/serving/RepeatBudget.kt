package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Limits the sends beyond the first of each request to a share of the requests for a service, over all instances. The share
 * holds for each instance by itself; the slack is divided among them. Not thread-safe.
 *
 * @param ratio repeats allowed for each request
 * @param slack repeats allowed besides, over all instances
 */
public class RepeatBudget(
    private val ratio: Double,
    private val window: Duration,
    private val slack: Double,
) {
    private val services = HashMap<String, Counts>()

    /** Live instances that divide the slack, this one included. */
    public var instances: Int = 1

    /** Counts one request of a caller for [service]. */
    public fun requested(
        service: String,
        nanos: Long,
    ): Unit = counts(service).requests.add(1.0, nanos)

    /** Counts one repeat and returns true, or returns false when the budget is used up. */
    public fun take(
        service: String,
        nanos: Long,
    ): Boolean {
        val counts = counts(service)
        val allowed = USED_FRACTION * (ratio * counts.requests.sum(nanos) + slack / maxOf(1, instances))
        if (counts.retries.sum(nanos) + 1 > allowed) return false
        counts.retries.add(1.0, nanos)
        return true
    }

    private fun counts(service: String): Counts = services.getOrPut(service) { Counts(window) }

    private class Counts(
        window: Duration,
    ) {
        val requests = SlidingWindowSum(window.toNanos())
        val retries = SlidingWindowSum(window.toNanos())
    }

    private companion object {
        /** The rest covers instances that have just joined or left, and windows that the sliding sums do not match exactly. */
        const val USED_FRACTION = 0.8
    }
}
