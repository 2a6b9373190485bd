package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Limits the sends beyond the first of each request to a share of the requests for a service, over all instances. The share
 * holds for each instance by itself; the slack is divided among them. Not thread-safe.
 *
 * @param ratio repeats allowed for each request
 * @param slack repeats allowed besides, over all instances
 */
public class ServiceRetryBudget(
    private val ratio: Double,
    private val window: Duration,
    private val slack: Double,
) {
    private val services = HashMap<String, Counts>()

    /** Live instances that divide the slack, this one included. */
    public var instances: Int = 1

    /** Counts one request of a caller for [service]. */
    public fun onRequest(
        service: String,
        nanos: Long,
    ): Unit = counts(service).requests.add(1.0, nanos)

    /** Counts one repeat and returns true, or returns false when the budget is used up. */
    public fun tryAcquire(
        service: String,
        nanos: Long,
    ): Boolean {
        val counts = counts(service)
        val allowed = USED_SHARE * (ratio * counts.requests.sum(nanos) + slack / maxOf(1, instances))
        if (counts.repeats.sum(nanos) + 1 > allowed) return false
        counts.repeats.add(1.0, nanos)
        return true
    }

    private fun counts(service: String): Counts = services.getOrPut(service) { Counts(window) }

    private class Counts(
        window: Duration,
    ) {
        val requests = SlidingSum(window.toNanos())
        val repeats = SlidingSum(window.toNanos())
    }

    private companion object {
        /** The rest covers instances that have just joined or left, and windows that the sliding sums do not match exactly. */
        const val USED_SHARE = 0.8
    }
}
