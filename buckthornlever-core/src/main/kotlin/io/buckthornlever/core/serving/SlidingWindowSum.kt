package io.buckthornlever.core.serving

/**
 * Sum of the amounts added in the last [windowNanos] nanoseconds, kept in [slotCount] slots. An amount leaves the sum at most
 * the length of one slot late.
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

    /**
     * Subtracts an [amount] that was added at [addedNanos] from the slot that it was added to. Subtracted from a later slot, it
     * would count twice once its own slot has expired.
     */
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

    /** Amounts of the window that ends at [nanos] by slot, oldest first. */
    public fun slotAmounts(nanos: Long): List<Double> {
        advance(nanos)
        return (amounts.size - 1 downTo 0).map { amounts[index(newestSlot - it)] }
    }

    /** Amounts that are in the window at [nanos], each with the time at which it leaves, earliest first. */
    public fun leaving(nanos: Long): List<LeavingAmount> {
        advance(nanos)
        return (amounts.size - 1 downTo 0)
            .filter { amounts[index(newestSlot - it)] > 0 }
            .map { LeavingAmount(amounts[index(newestSlot - it)], (newestSlot - it + amounts.size) * slotNanos) }
    }

    /** Sum of the slots that have begun after [sinceNanos], of the window that ends at [nanos]. */
    public fun sumSince(
        sinceNanos: Long,
        nanos: Long,
    ): Double {
        advance(nanos)
        return (0 until amounts.size).filter { (newestSlot - it) * slotNanos > sinceNanos }.sumOf { amounts[index(newestSlot - it)] }
    }

    /** Adds amounts that [slotAmounts] returned [ageNanos] before [nanos]; those that have left the window are dropped. */
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
        /** 32 slots keep the error of a ten-second window below a third of a second. */
        const val DEFAULT_SLOTS = 32
    }
}
