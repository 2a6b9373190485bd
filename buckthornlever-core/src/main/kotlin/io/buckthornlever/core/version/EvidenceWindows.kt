package io.buckthornlever.core.version

import java.time.Duration

/**
 * Time windows in which a move's evidence is kept, of three lengths: short windows, in which older results do not dilute a fault that
 * starts late, and longer ones for routes with little traffic. The lengths are fixed rather than derived from the move, so that
 * instances with different revisions of the pool table count in the same windows.
 */
internal object EvidenceWindows {
    /** Lengths of the windows in seconds, shortest first. */
    val LENGTHS_SECONDS: List<Int> = listOf(1, 16, 256)

    /** Windows kept per length; the longest ones cover 85 minutes. */
    const val KEPT_PER_LEVEL = 20

    /** Number of windows ahead of this instance's clock that are accepted from peers, since clocks differ. */
    private const val MAX_CLOCK_SKEW_WINDOWS = 2

    /** Windows that contain the time [elapsed] after the start of the move, one per length; times before the start are in the first one. */
    fun windowsAt(elapsed: Duration): List<EvidenceWindow> = LENGTHS_SECONDS.map { EvidenceWindow(it, indexAt(elapsed, it)) }

    /** Index of the window of [lengthSeconds] that contains [elapsed]. */
    fun indexAt(
        elapsed: Duration,
        lengthSeconds: Int,
    ): Int = (elapsed.seconds.coerceIn(0, Int.MAX_VALUE.toLong()) / lengthSeconds).toInt()

    /** Whether [window] has a known length and is recent enough at [elapsed] to be kept. */
    fun isRetained(
        window: EvidenceWindow,
        elapsed: Duration,
    ): Boolean {
        if (window.lengthSeconds !in LENGTHS_SECONDS) return false
        val newest = indexAt(elapsed, window.lengthSeconds)
        return window.index >= maxOf(0, newest - KEPT_PER_LEVEL + 1) && window.index <= newest + MAX_CLOCK_SKEW_WINDOWS
    }
}
