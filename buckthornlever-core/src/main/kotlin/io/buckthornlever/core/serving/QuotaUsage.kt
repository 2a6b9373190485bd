package io.buckthornlever.core.serving

import java.time.Duration
import java.util.TreeMap

/**
 * What one instance has granted of the quota of one account, by priority, and what was requested of it lately. Units that another
 * instance spends count for [QuotaBounds.retention], all others for the window. Not thread-safe.
 */
internal class QuotaUsage(
    private val bounds: QuotaBounds,
) {
    private val own = TreeMap<Int, SlidingWindowSum>()
    private val lent = TreeMap<Int, SlidingWindowSum>()
    private val requested = TreeMap<Int, Requested>()
    private val small = Requested()
    private val smallGranted = SlidingWindowSum(bounds.window.toNanos())

    fun add(charge: QuotaCharge.Granted) {
        sumFor(charge).add(charge.cost, charge.nanos)
        requestedOf(charge.priority).add(charge.cost, charge.nanos)
    }

    fun subtract(
        charge: QuotaCharge.Granted,
        nanos: Long,
    ) {
        sumFor(charge).subtract(charge.cost, charge.nanos, nanos)
        requestedOf(charge.priority).subtract(charge.cost, charge.nanos, nanos)
    }

    /** Units that count at [nanos]. */
    fun sum(nanos: Long): Double = own.values.sumOf { it.sum(nanos) } + lent.values.sumOf { it.sum(nanos) }

    /** Units that count at [nanos] and were granted to requests of [priority]. */
    fun sumOf(
        priority: Int,
        nanos: Long,
    ): Double = (own[priority]?.sum(nanos) ?: 0.0) + (lent[priority]?.sum(nanos) ?: 0.0)

    /** Records that a request of [priority] that needs [cost] units has come. */
    fun onRequest(
        cost: Double,
        priority: Int,
        isSmall: Boolean,
        nanos: Long,
    ) {
        requestedOf(priority).count(cost, nanos)
        if (isSmall) small.add(cost, nanos)
    }

    fun onSmallGranted(
        cost: Double,
        nanos: Long,
    ) = smallGranted.add(cost, nanos)

    /** Units granted to small requests in the window that ends at [nanos]. */
    fun sumOfSmall(nanos: Long): Double = smallGranted.sum(nanos)

    /** Units that small requests are expected to ask for within [duration]. */
    fun expectedSmall(
        duration: Duration,
        nanos: Long,
    ): Double = small.within(duration, nanos)

    /** Records that [cost] units were requested and not granted. */
    fun onRefused(
        cost: Double,
        priority: Int,
        nanos: Long,
    ) = requestedOf(priority).add(cost * REFUSED_WEIGHT, nanos)

    /** Units that requests more urgent than [priority] are expected to ask for within [duration]. */
    fun expectedBefore(
        priority: Int,
        duration: Duration,
        nanos: Long,
    ): Double = requested.headMap(priority).values.sumOf { it.within(duration, nanos) }

    /** Mean units of the requests more urgent than [priority] that have come lately; 0 without any. */
    fun meanCostBefore(
        priority: Int,
        nanos: Long,
    ): Double {
        val before = requested.headMap(priority).values
        val count = before.sumOf { it.count(nanos) }
        return if (count <= 0) 0.0 else before.sumOf { it.units(nanos) } / count
    }

    /** Monotonic time at which [amount] units have left the sum, if nothing else is granted. */
    fun timeToFree(
        amount: Double,
        nanos: Long,
    ): Long {
        var freed = 0.0
        for (leaving in leaving(nanos)) {
            freed += leaving.amount
            if (freed >= amount) return leaving.nanos
        }
        return nanos + bounds.retention.toNanos()
    }

    private fun leaving(nanos: Long): List<LeavingAmount> = (own.values + lent.values).flatMap { it.leaving(nanos) }.sortedBy { it.nanos }

    private fun requestedOf(priority: Int): Requested = requested.getOrPut(priority) { Requested() }

    private fun sumFor(charge: QuotaCharge.Granted): SlidingWindowSum =
        if (charge.isLent) {
            lent.getOrPut(charge.priority) { SlidingWindowSum(bounds.retention.toNanos()) }
        } else {
            own.getOrPut(charge.priority) { SlidingWindowSum(bounds.window.toNanos()) }
        }

    private inner class Requested {
        private val recent = SlidingWindowSum(REQUESTED_WINDOW_NANOS, REQUESTED_SLOTS)
        private val units = SlidingWindowSum(REQUESTED_WINDOW_NANOS, REQUESTED_SLOTS)
        private val counts = SlidingWindowSum(REQUESTED_WINDOW_NANOS, REQUESTED_SLOTS)
        private var since = Long.MIN_VALUE

        fun count(
            cost: Double,
            nanos: Long,
        ) {
            units.add(cost, nanos)
            counts.add(1.0, nanos)
        }

        fun units(nanos: Long): Double = units.sum(nanos)

        fun count(nanos: Long): Double = counts.sum(nanos)

        fun add(
            cost: Double,
            nanos: Long,
        ) {
            if (recent.sum(nanos) <= 0) since = nanos
            recent.add(cost, nanos)
        }

        fun subtract(
            cost: Double,
            addedNanos: Long,
            nanos: Long,
        ) = recent.subtract(cost, addedNanos, nanos)

        fun within(
            duration: Duration,
            nanos: Long,
        ): Double {
            val observed = (nanos - since).coerceIn(MIN_OBSERVED_NANOS, REQUESTED_WINDOW_NANOS)
            return recent.sum(nanos) * duration.toNanos() / observed
        }
    }

    private companion object {
        /** Long enough for the rate of a few large requests a second, short enough to follow a burst. */
        const val REQUESTED_WINDOW_NANOS = 4_000_000_000L
        const val REQUESTED_SLOTS = 16

        /** A request that is refused here may be granted by another holder. */
        const val REFUSED_WEIGHT = 0.6

        /** A few requests at once are not taken for a rate. */
        const val MIN_OBSERVED_NANOS = 1_000_000_000L
    }
}
