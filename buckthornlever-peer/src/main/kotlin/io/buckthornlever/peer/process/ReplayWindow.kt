package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId

/**
 * Sliding window over the sequence numbers received from each sender. Datagrams may be reordered by up to [WINDOW_SIZE] sequence
 * numbers; older ones are rejected. A message of an earlier incarnation than the latest one of its sender counts as a replay.
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

    /** Returns true and records the sequence number if the message is new. */
    @Synchronized
    fun accept(sender: InstanceId, incarnation: Long, sequence: Long): Boolean {
        if (sequence < 0) return false
        val state = senders[sender]
        if (state == null || incarnation > state.incarnation) {
            senders[sender] = SenderState(incarnation, sequence).also { markSeen(it, sequence) }
            return true
        }
        if (incarnation < state.incarnation || sequence <= state.highest - WINDOW_SIZE) return false
        if (sequence > state.highest) {
            advance(state, sequence)
        } else if (isSeen(state, sequence)) {
            return false
        }
        markSeen(state, sequence)
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
        /** A sender numbers its messages to all peers in one sequence, so each peer sees gaps; 1,024 numbers last for over ten seconds. */
        const val WINDOW_SIZE = 1_024
        private const val MAX_SENDERS = 4_096
        private const val INITIAL_CAPACITY = 16
        private const val LOAD_FACTOR = 0.75f
    }
}
