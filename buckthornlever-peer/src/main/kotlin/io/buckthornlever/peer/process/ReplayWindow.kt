package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId

/**
 * Remembers which sequence numbers of each sender have arrived. Datagrams may overtake each other by up to [WINDOW] numbers. A
 * message of an earlier incarnation than the latest one of its sender is a replay.
 */
internal class ReplayWindow {
    private class Sender(
        var incarnation: Long,
        var highest: Long,
        val seen: LongArray = LongArray(WINDOW / Long.SIZE_BITS),
    )

    private val senders = object : LinkedHashMap<InstanceId, Sender>(INITIAL, LOAD, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<InstanceId, Sender>): Boolean = size > MAX_SENDERS
    }

    /** True when the message is new; it is then remembered. */
    @Synchronized
    fun accept(sender: InstanceId, incarnation: Long, sequence: Long): Boolean {
        if (sequence < 0) return false
        val known = senders[sender]
        if (known == null || incarnation > known.incarnation) {
            senders[sender] = Sender(incarnation, sequence).also { set(it, sequence) }
            return true
        }
        if (incarnation < known.incarnation || sequence <= known.highest - WINDOW) return false
        if (sequence > known.highest) {
            advance(known, sequence)
        } else if (isSet(known, sequence)) {
            return false
        }
        set(known, sequence)
        return true
    }

    private fun advance(sender: Sender, sequence: Long) {
        if (sequence - sender.highest >= WINDOW) {
            sender.seen.fill(0)
        } else {
            for (skipped in sender.highest + 1..sequence) clear(sender, skipped)
        }
        sender.highest = sequence
    }

    private fun word(sequence: Long): Int = (sequence % WINDOW / Long.SIZE_BITS).toInt()

    private fun set(sender: Sender, sequence: Long) {
        sender.seen[word(sequence)] = sender.seen[word(sequence)] or (1L shl (sequence % Long.SIZE_BITS).toInt())
    }

    private fun clear(sender: Sender, sequence: Long) {
        sender.seen[word(sequence)] = sender.seen[word(sequence)] and (1L shl (sequence % Long.SIZE_BITS).toInt()).inv()
    }

    private fun isSet(sender: Sender, sequence: Long): Boolean =
        sender.seen[word(sequence)] and (1L shl (sequence % Long.SIZE_BITS).toInt()) != 0L

    companion object {
        /** Sequence numbers count messages to all peers, so that a peer sees them with gaps; 1,024 numbers are more than ten seconds. */
        const val WINDOW = 1_024
        private const val MAX_SENDERS = 4_096
        private const val INITIAL = 16
        private const val LOAD = 0.75f
    }
}
