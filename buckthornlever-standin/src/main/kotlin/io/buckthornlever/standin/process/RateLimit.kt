package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock

/** Token bucket that holds one second's worth of calls. */
internal class RateLimit(
    private val perSecond: Int,
    private val clock: Clock,
) {
    private var available = perSecond.toDouble()
    private var filledAt = clock.monotonicNanos()

    @Synchronized
    fun tryTake(): Boolean {
        val now = clock.monotonicNanos()
        available = (available + (now - filledAt) * perSecond / NANOS_PER_SECOND).coerceAtMost(perSecond.toDouble())
        filledAt = now
        if (available < 1) return false
        available -= 1
        return true
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
