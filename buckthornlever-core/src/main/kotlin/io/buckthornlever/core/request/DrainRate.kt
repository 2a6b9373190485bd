package io.buckthornlever.core.request

/** Rate at which a fair queue starts work while requests wait, averaged over a few seconds. */
internal class DrainRate {
    private var windowStart = 0L
    private var windowCost = 0.0

    /** Cost started per nanosecond; null until the first window has passed. */
    var costPerNano: Double? = null
        private set

    /** Starts a new window. Needed after a period without waiting requests, in which the rate says nothing about capacity. */
    fun startWindow(nanos: Long) {
        windowStart = nanos
        windowCost = 0.0
    }

    fun recordStart(
        cost: Double,
        nanos: Long,
    ) {
        windowCost += cost
        val elapsed = nanos - windowStart
        if (elapsed < WINDOW_NANOS) return
        val rate = windowCost / elapsed
        costPerNano = costPerNano?.let { (it + rate) / 2 } ?: rate
        startWindow(nanos)
    }

    private companion object {
        const val WINDOW_NANOS = 1_000_000_000L
    }
}
