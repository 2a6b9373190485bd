package io.buckthornlever.core.serving

/**
 * Sum of the amounts of the last [windowNanos] nanoseconds, kept in [slotCount] slots; an amount leaves the sum at most one slot late.
 */
public class SlidingWindowSum(
    private val windowNanos: Long,
    private val slotCount: Int = DEFAULT_SLOTS,
) {
    private val slotNanos = windowNanos / slotCount
    private val amounts = DoubleArray(slotCount + 1)
    private var newestSlot = Long.MIN_VALUE

    /** Adds [amount] at [nanos]. */
    public fun add(
        amount: Double,
        nanos: Long,
    ) {
        advance(nanos)
        amounts[index(newestSlot)] += amount
    }

    /** Takes back an [amount] that was added at [addedNanos]; it leaves the slot that it is in, since it would count twice in another. */
    public fun subtract(
        amount: Double,
        addedNanos: Long,
        nanos: Long,
    ) {
        advance(nanos)
        val slot = Math.floorDiv(addedNanos, slotNanos)
        if (newestSlot - slot < amounts.size) amounts[index(slot)] -= amount
    }

    /** Sum of the window that ends at [nanos]. */
    public fun sum(nanos: Long): Double {
        advance(nanos)
        return amounts.sum().coerceAtLeast(0.0)
    }

    /** Amounts of the window that ends at [nanos], by slot, the oldest first. */
    public fun slotAmounts(nanos: Long): List<Double> {
        advance(nanos)
        return (amounts.size - 1 downTo 0).map { amounts[index(newestSlot - it)] }
    }

    /** Adds amounts as [slotAmounts] told them [ageNanos] before [nanos]; those that have left the window are dropped. */
    public fun restore(
        slots: List<Double>,
        ageNanos: Long,
        nanos: Long,
    ) {
        advance(nanos)
        val shift = maxOf(0, ageNanos) / slotNanos
        slots.reversed().forEachIndexed { back, amount ->
            if (back + shift < amounts.size) amounts[index(newestSlot - back - shift)] += amount
        }
    }

    private fun advance(nanos: Long) {
        val slot = Math.floorDiv(nanos, slotNanos)
        if (newestSlot == Long.MIN_VALUE) newestSlot = slot
        if (slot <= newestSlot) return
        val steps = minOf(slot - newestSlot, amounts.size.toLong())
        for (i in 1..steps) amounts[index(newestSlot + i)] = 0.0
        newestSlot = slot
    }

    private fun index(slot: Long): Int = Math.floorMod(slot, amounts.size)

    private companion object {
        /** Resolution of one part in 32 keeps the error of a window of ten seconds below a third of a second. */
        const val DEFAULT_SLOTS = 32
    }
}
