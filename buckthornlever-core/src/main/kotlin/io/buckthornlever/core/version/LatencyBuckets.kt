package io.buckthornlever.core.version

import java.time.Duration

/** Logarithmic latency buckets whose upper bounds grow by a factor of the square root of two, from 1 ms to 46 s. */
internal object LatencyBuckets {
    const val COUNT = 32
    private const val FIRST_UPPER_MICROS = 1_000.0

    private val upperBoundsMicros = LongArray(COUNT) { (FIRST_UPPER_MICROS * Math.pow(2.0, it / 2.0)).toLong() }

    /** Index of the bucket that holds [latency]. */
    fun indexOf(latency: Duration): Int {
        val micros = latency.toNanos() / 1_000
        val index = upperBoundsMicros.binarySearch(micros)
        return (if (index >= 0) index else -index - 1).coerceAtMost(COUNT - 1)
    }
}
