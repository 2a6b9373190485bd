package io.buckthornlever.core.version

import java.time.Duration

/**
 * Windows in which a move's evidence is kept, on three levels: short ones, in which a fault that starts late is not diluted by
 * older results, and longer ones for routes with little traffic. The levels are fixed rather than derived from the move, so that
 * instances with different revisions of the pool table count in the same windows.
 */
internal object EvidenceWindows {
    /** Lengths of the windows in seconds, shortest first. */
    val LENGTHS_SECONDS: List<Int> = listOf(1, 16, 256)

    /** Windows kept per level; 85 minutes on the longest one. */
    const val KEPT_PER_LEVEL = 20

    /** Clocks of instances differ; a window shortly ahead of this instance's time is accepted. */
    private const val MAX_CLOCK_SKEW_WINDOWS = 2

    /** The windows that contain [elapsed] after the start of the move, one per level; everything before the start is in the first. */
    fun windowsAt(elapsed: Duration): List<EvidenceWindow> = LENGTHS_SECONDS.map { EvidenceWindow(it, indexAt(elapsed, it)) }

    /** Number of the window of [lengthSeconds] that contains [elapsed]. */
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
