package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Limits the retries for each service to a ratio of its requests, over all instances. Each instance applies the ratio to its own
 * requests; the slack is divided among the instances. Until these are known, it has no part of the slack. Not thread-safe.
 *
 * A process that restarts has forgotten the retries of its predecessors, whose part it must not use again.
 *
 * @param ratio retries allowed per request
 * @param slack additional retries allowed over all instances
 * @param usableFraction fraction of this instance's part that this process may use in the window that ends at a monotonic time
 */
public class ServiceRetryBudget(
    private val ratio: Double,
    private val window: Duration,
    private val slack: Double,
    private val usableFraction: (nanos: Long) -> Double,
) {
    private val services = HashMap<String, Counts>()

    /**
     * Number of registered instances that divide the slack, including this one; null until they are known. Silent instances count: they
     * may only be cut off, and still use their part.
     */
    public var instances: Int? = null

    /** Counts one caller request for [service], not its retries. */
    public fun onRequest(
        service: String,
        nanos: Long,
    ): Unit = counts(service).requests.add(1.0, nanos)

    /** Reserves one retry for [service] until it is sent or given up; returns null when the budget is exhausted. */
    public fun reserve(
        service: String,
        nanos: Long,
    ): RetryReservation? {
        val usage = usage(service, nanos)
        if (usage.used + 1 > usage.allowed) return null
        val counts = counts(service)
        counts.reserved++
        return RetryReservation { sentNanos ->
            counts.reserved--
            if (sentNanos != null) counts.retries.add(1.0, sentNanos)
        }
    }

    /** Retries for [service] that this instance has used of those that it may use, in the window that ends at [nanos]. */
    public fun usage(
        service: String,
        nanos: Long,
    ): RetryUsage {
        val counts = counts(service)
        val ownSlack = instances?.let { slack / maxOf(1, it) } ?: 0.0
        val allowed = USED_FRACTION * usableFraction(nanos) * (ratio * counts.requests.sum(nanos) + ownSlack)
        return RetryUsage(counts.retries.sum(nanos) + counts.reserved, allowed)
    }

    private fun counts(service: String): Counts = services.getOrPut(service) { Counts(window) }

    private class Counts(
        window: Duration,
    ) {
        val requests = SlidingWindowSum(window.toNanos())
        val retries = SlidingWindowSum(window.toNanos())
        var reserved = 0
    }

    private companion object {
        /** The rest covers instances that have just joined, and the resolution of the sliding windows. */
        const val USED_FRACTION = 0.9
    }
}
