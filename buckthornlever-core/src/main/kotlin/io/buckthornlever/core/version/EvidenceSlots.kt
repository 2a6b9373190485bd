package io.buckthornlever.core.version

import java.time.Duration
import java.time.Instant

/**
 * Windows in which a move's evidence is kept: short ones over the last [FINE_KEPT] seconds, in which a fault that starts late
 * is not diluted by older results, and long ones that cover the whole move for routes with little traffic.
 */
internal class EvidenceSlots(
    private val start: Instant,
    due: Instant,
) {
    private val coarseSeconds =
        Duration.between(start, due).seconds.let { ((it + COARSE_KEPT - 1) / COARSE_KEPT).coerceIn(2L, MAX_COARSE_SECONDS) }.toInt()

    fun at(now: Instant): List<EvidenceSlot> {
        val elapsed = Duration.between(start, now).seconds.coerceAtLeast(0)
        return listOf(EvidenceSlot(1, elapsed.toInt()), EvidenceSlot(coarseSeconds, (elapsed / coarseSeconds).toInt()))
    }

    /** Whether [slot] has a known length and is recent enough at [now] to be kept. */
    fun retained(
        slot: EvidenceSlot,
        now: Instant,
    ): Boolean {
        val newest = at(now).firstOrNull { it.seconds == slot.seconds } ?: return false
        val kept = if (slot.seconds == 1) FINE_KEPT else COARSE_KEPT
        // Clocks of instances differ; a slot shortly ahead of this instance's time is accepted.
        return slot.index in (newest.index - kept + 1).coerceAtLeast(0)..newest.index + CLOCK_ERROR_SLOTS
    }

    companion object {
        const val FINE_KEPT = 20
        const val COARSE_KEPT = 48
        private const val CLOCK_ERROR_SLOTS = 2
        private const val MAX_COARSE_SECONDS = 3_600L
    }
}
