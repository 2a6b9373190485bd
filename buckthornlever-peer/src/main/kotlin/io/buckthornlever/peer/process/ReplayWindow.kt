package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId

/**
 * Remembers which sequence numbers of each sender have arrived. Datagrams may overtake each other by up to [WINDOW_SIZE] numbers. A
 * message of an earlier incarnation than the latest one of its sender is a replay.
 */
internal class ReplayWindow {
    private class SenderState(
        var incarnation: Long,
        var highest: Long,
        val seen: LongArray = LongArray(WINDOW_SIZE / Long.SIZE_BITS),
    )

    private val senders = object : LinkedHashMap<InstanceId, SenderState>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<InstanceId, SenderState>): Boolean = size > MAX_SENDERS
    }

    /** True when the message is new; it is then remembered. */
    @Synchronized
    fun accept(sender: InstanceId, incarnation: Long, sequence: Long): Boolean {
        if (sequence < 0) return false
        val known = senders[sender]
        if (known == null || incarnation > known.incarnation) {
            senders[sender] = SenderState(incarnation, sequence).also { markSeen(it, sequence) }
            return true
        }
        if (incarnation < known.incarnation || sequence <= known.highest - WINDOW_SIZE) return false
        if (sequence > known.highest) {
            advance(known, sequence)
        } else if (isSeen(known, sequence)) {
            return false
        }
        markSeen(known, sequence)
        return true
    }

    private fun advance(sender: SenderState, sequence: Long) {
        if (sequence - sender.highest >= WINDOW_SIZE) {
            sender.seen.fill(0)
        } else {
            for (skipped in sender.highest + 1..sequence) clearSeen(sender, skipped)
        }
        sender.highest = sequence
    }

    private fun wordIndex(sequence: Long): Int = (sequence % WINDOW_SIZE / Long.SIZE_BITS).toInt()

    private fun markSeen(sender: SenderState, sequence: Long) {
        sender.seen[wordIndex(sequence)] = sender.seen[wordIndex(sequence)] or (1L shl (sequence % Long.SIZE_BITS).toInt())
    }

    private fun clearSeen(sender: SenderState, sequence: Long) {
        sender.seen[wordIndex(sequence)] = sender.seen[wordIndex(sequence)] and (1L shl (sequence % Long.SIZE_BITS).toInt()).inv()
    }

    private fun isSeen(sender: SenderState, sequence: Long): Boolean =
        sender.seen[wordIndex(sequence)] and (1L shl (sequence % Long.SIZE_BITS).toInt()) != 0L

    companion object {
        /** Sequence numbers count messages to all peers, so that a peer sees them with gaps; 1,024 numbers are more than ten seconds. */
        const val WINDOW_SIZE = 1_024
        private const val MAX_SENDERS = 4_096
        private const val INITIAL_CAPACITY = 16
        private const val LOAD_FACTOR = 0.75f
    }
}
