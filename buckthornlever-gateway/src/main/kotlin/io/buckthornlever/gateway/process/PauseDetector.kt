package io.buckthornlever.gateway.process

import java.time.Duration

/**
 * Notices that the time of day moved against the steady clock. That is either a correction of the clock or a suspension of the
 * machine, whose length the steady clock does not count.
 */
internal class PauseDetector(
    nanos: Long,
    wallMillis: Long,
) {
    private var offset = wallMillis - nanos / NANOS_PER_MILLI

    /** Time by which the time of day has moved ahead of the steady clock since the last call; zero if less than a threshold. */
    fun check(
        nanos: Long,
        wallMillis: Long,
    ): Duration {
        val current = wallMillis - nanos / NANOS_PER_MILLI
        val jump = current - offset
        offset = current
        return if (jump >= THRESHOLD_MILLIS) Duration.ofMillis(jump) else Duration.ZERO
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** More than clocks are adjusted by between two checks. */
        const val THRESHOLD_MILLIS = 250L
    }
}
