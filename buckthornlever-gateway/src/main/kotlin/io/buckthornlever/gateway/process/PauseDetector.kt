package io.buckthornlever.gateway.process

import java.time.Duration

/**
 * Detects that the wall clock jumped ahead of the monotonic clock. The cause is either a clock correction or a suspension of the
 * host, during which the monotonic clock does not advance.
 */
internal class PauseDetector(
    nanos: Long,
    wallMillis: Long,
) {
    private var offset = wallMillis - nanos / NANOS_PER_MILLI

    /** Returns how far the wall clock has moved ahead of the monotonic clock since the last call; zero below the threshold. */
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

        /** Larger than the adjustments that clock synchronization makes between two checks. */
        const val THRESHOLD_MILLIS = 250L
    }
}
