package io.buckthornlever.core.version

import java.time.Duration

/**
 * Windows in which a move's evidence is kept, on three levels: short ones, in which a fault that starts late is not diluted by
 * older results, and longer ones for routes with little traffic. The levels are fixed rather than derived from the move, so that
 * instances with different revisions of the pool table count in the same windows.
 */
internal object EvidenceSlots {
    /** Lengths of the windows in seconds, shortest first. */
    val LEVELS: List<Int> = listOf(1, 16, 256)

    /** Windows kept per level; 85 minutes on the longest one. */
    const val KEPT = 20

    /** Clocks of instances differ; a window shortly ahead of this instance's time is accepted. */
    private const val CLOCK_ERROR_SLOTS = 2

    /** The windows that contain [elapsed] after the start of the move, one per level; everything before the start is in the first. */
    fun at(elapsed: Duration): List<EvidenceSlot> = LEVELS.map { EvidenceSlot(it, indexAt(elapsed, it)) }

    /** Number of the window of [seconds] that contains [elapsed]. */
    fun indexAt(
        elapsed: Duration,
        seconds: Int,
    ): Int = (elapsed.seconds.coerceIn(0, Int.MAX_VALUE.toLong()) / seconds).toInt()

    /** Whether [slot] has a known length and is recent enough at [elapsed] to be kept. */
    fun retained(
        slot: EvidenceSlot,
        elapsed: Duration,
    ): Boolean {
        if (slot.seconds !in LEVELS) return false
        val newest = indexAt(elapsed, slot.seconds)
        return slot.index >= maxOf(0, newest - KEPT + 1) && slot.index <= newest + CLOCK_ERROR_SLOTS
    }
}
