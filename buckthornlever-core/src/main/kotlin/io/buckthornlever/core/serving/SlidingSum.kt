package io.buckthornlever.core.serving

/**
 * Sum of the amounts of the last [windowNanos] nanoseconds, kept in [slots] slots; an amount leaves the sum at most one slot late.
 */
public class SlidingSum(
    private val windowNanos: Long,
    private val slots: Int = DEFAULT_SLOTS,
) {
    private val width = windowNanos / slots
    private val amounts = DoubleArray(slots + 1)
    private var newest = Long.MIN_VALUE

    /** Adds [amount] at [nanos]. */
    public fun add(
        amount: Double,
        nanos: Long,
    ) {
        advance(nanos)
        amounts[index(newest)] += amount
    }

    /** Takes back an [amount] that was added at [addedNanos]; it leaves the slot that it is in, since it would count twice in another. */
    public fun takeBack(
        amount: Double,
        addedNanos: Long,
        nanos: Long,
    ) {
        advance(nanos)
        val slot = Math.floorDiv(addedNanos, width)
        if (newest - slot < amounts.size) amounts[index(slot)] -= amount
    }

    /** Sum of the window that ends at [nanos]. */
    public fun sum(nanos: Long): Double {
        advance(nanos)
        return amounts.sum().coerceAtLeast(0.0)
    }

    /** Amounts of the window that ends at [nanos], by slot, the oldest first. */
    public fun slots(nanos: Long): List<Double> {
        advance(nanos)
        return (amounts.size - 1 downTo 0).map { amounts[index(newest - it)] }
    }

    /** Adds amounts as [slots] told them [ageNanos] before [nanos]; those that have left the window are dropped. */
    public fun restore(
        slots: List<Double>,
        ageNanos: Long,
        nanos: Long,
    ) {
        advance(nanos)
        val shift = maxOf(0, ageNanos) / width
        slots.reversed().forEachIndexed { back, amount ->
            if (back + shift < amounts.size) amounts[index(newest - back - shift)] += amount
        }
    }

    private fun advance(nanos: Long) {
        val slot = Math.floorDiv(nanos, width)
        if (newest == Long.MIN_VALUE) newest = slot
        if (slot <= newest) return
        val steps = minOf(slot - newest, amounts.size.toLong())
        for (i in 1..steps) amounts[index(newest + i)] = 0.0
        newest = slot
    }

    private fun index(slot: Long): Int = Math.floorMod(slot, amounts.size)

    private companion object {
        /** Resolution of one part in 32 keeps the error of a window of ten seconds below a third of a second. */
        const val DEFAULT_SLOTS = 32
    }
}
