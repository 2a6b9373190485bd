package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Limits what each sender of datagrams makes the process decode. It is made for a peer that repeats messages without end, and for
 * datagrams from elsewhere: whoever sends most is limited first, while the others are heard as before. Not thread-safe.
 *
 * Each registered sender may send [bytesPerSecond], and so may all others together, since anyone can invent addresses.
 */
public class SenderLimiter<S : Any>(
    private val bytesPerSecond: Long,
) {
    private val registered = HashMap<S, Allowance>()
    private val others = Allowance(bytesPerSecond)

    /** Number of datagrams that were not admitted. */
    public var limitedCount: Long = 0
        private set

    /** Gives [sender] an allowance of its own. */
    public fun register(sender: S) {
        registered.getOrPut(sender) { Allowance(bytesPerSecond) }
    }

    /** Drops the allowance of [sender]. */
    public fun unregister(sender: S) {
        registered.remove(sender)
    }

    /** True if a datagram of [bytes] from [sender] may be decoded. */
    public fun admits(
        sender: S,
        bytes: Int,
        nanos: Long,
    ): Boolean {
        val allowance = registered[sender] ?: others
        allowance.refill(bytesPerSecond, nanos)
        // Below zero afterwards, so that no limit is too small for the largest datagram.
        if (allowance.bytes <= 0) {
            limitedCount++
            return false
        }
        allowance.bytes -= bytes + DATAGRAM_BYTES
        return true
    }

    private class Allowance(
        var bytes: Long,
    ) {
        private var refilledNanos = NEVER

        fun refill(
            perSecond: Long,
            nanos: Long,
        ) {
            val elapsed = if (refilledNanos == NEVER) 0 else (nanos - refilledNanos).coerceIn(0, SECOND_NANOS)
            val added = perSecond * elapsed / SECOND_NANOS
            // The rest of a byte is counted next time.
            if (added == 0L && refilledNanos != NEVER) return
            bytes = minOf(perSecond, bytes + added)
            refilledNanos = nanos
        }
    }

    public companion object {
        /** A peer sends at most four messages of 64 KB and some hundred small ones in a second, an eighth of this. */
        public const val DEFAULT_BYTES_PER_SECOND: Long = 2L * 1_024 * 1_024

        /** Work that each datagram causes beside its bytes. */
        private const val DATAGRAM_BYTES = 256L
        private const val NEVER = Long.MIN_VALUE
        private val SECOND_NANOS = Duration.ofSeconds(1).toNanos()
    }
}
