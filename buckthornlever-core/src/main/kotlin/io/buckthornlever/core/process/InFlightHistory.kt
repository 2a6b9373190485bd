package io.buckthornlever.core.process

/** Number of this instance's requests in flight at one upstream, now and over the last four seconds. */
internal class InFlightHistory {
    private val atSlotEnd = IntArray(SLOT_COUNT)
    private var slot = 0L

    /** Requests in flight now. */
    var current: Int = 0
        private set

    fun change(
        delta: Int,
        nanos: Long,
    ) {
        advance(nanos / SLOT_NANOS)
        current = maxOf(0, current + delta)
        atSlotEnd[index(slot)] = current
    }

    /** Requests in flight at the end of the slot that contains [nanos]; the oldest known value for earlier times. */
    fun at(nanos: Long): Int {
        val wanted = nanos / SLOT_NANOS
        if (wanted >= slot) return current
        return atSlotEnd[index(maxOf(wanted, slot - SLOT_COUNT + 1))]
    }

    private fun advance(to: Long) {
        if (to <= slot) return
        val from = maxOf(slot + 1, to - SLOT_COUNT + 1)
        for (s in from..to) atSlotEnd[index(s)] = current
        slot = to
    }

    private fun index(s: Long): Int = Math.floorMod(s, SLOT_COUNT)

    companion object {
        private const val SLOT_COUNT = 32

        /** Length of a slot; a dispatch in the slot in which a report was measured counts as included in the report. */
        const val SLOT_NANOS: Long = 125_000_000
    }
}
