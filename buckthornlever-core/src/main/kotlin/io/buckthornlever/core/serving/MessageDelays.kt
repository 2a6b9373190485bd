package io.buckthornlever.core.serving

/**
 * Estimates for how long messages of other instances have been on their way beyond the usual time, from the monotonic times of sender and
 * receiver. An instance that was frozen reads what has arrived meanwhile at once, and must not take the ages in it for true. Not
 * thread-safe.
 */
public class MessageDelays {
    private val senders = HashMap<String, Offsets>()

    /** Delay in nanoseconds of a message that [sender] sent at [sentNanos] of its clock, in the process that began at [incarnation]. */
    public fun delayNanos(
        sender: String,
        incarnation: Long,
        sentNanos: Long,
        nanos: Long,
    ): Long {
        val offsets = senders.getOrPut(sender) { Offsets(incarnation) }.takeIf { it.incarnation == incarnation } ?: Offsets(incarnation)
        senders[sender] = offsets
        if (senders.size > MAX_SENDERS) senders.remove(senders.keys.first())
        return offsets.add(nanos - sentNanos, nanos)
    }

    private class Offsets(
        val incarnation: Long,
    ) {
        private var periodStart = Long.MIN_VALUE
        private var smallest = Long.MAX_VALUE
        private var smallestBefore = Long.MAX_VALUE

        /** Adds [offset] and returns how far it is above the smallest one of the last one to two periods. */
        fun add(
            offset: Long,
            nanos: Long,
        ): Long {
            if (periodStart == Long.MIN_VALUE || nanos - periodStart >= PERIOD_NANOS) {
                periodStart = nanos
                smallestBefore = smallest
                smallest = Long.MAX_VALUE
            }
            smallest = minOf(smallest, offset)
            return offset - minOf(smallest, smallestBefore)
        }
    }

    private companion object {
        /** Clocks of two machines drift apart by less than a millisecond in this time. */
        const val PERIOD_NANOS = 10_000_000_000L
        const val MAX_SENDERS = 2_000
    }
}
