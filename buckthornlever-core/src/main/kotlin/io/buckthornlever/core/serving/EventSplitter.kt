package io.buckthornlever.core.serving

/** Splits the bytes of an event stream into complete events; the bytes of an incomplete event stay buffered. */
public class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var length = 0

    /** True while an incomplete event is buffered. */
    public val isInsideEvent: Boolean get() = length > 0

    /** Number of buffered bytes of the incomplete event. */
    public val pendingBytes: Int get() = length

    /** Adds [bytes] and returns the events that they complete. */
    public fun add(bytes: ByteArray): List<ServerSentEvent> {
        if (length + bytes.size > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, length + bytes.size))
        val scanFrom = maxOf(0, length - SEPARATOR_OVERLAP_BYTES)
        bytes.copyInto(buffer, length)
        length += bytes.size
        val events = ArrayList<ServerSentEvent>()
        var start = 0
        var i = scanFrom
        while (i + 1 < length) {
            val end = separatorEnd(i)
            if (end > 0) {
                val event = buffer.copyOfRange(start, end)
                events.add(ServerSentEvent(event, idOf(event)))
                start = end
                i = end
            } else {
                i++
            }
        }
        buffer.copyInto(buffer, 0, start, length)
        length -= start
        return events
    }

    /** Discards an incomplete event. */
    public fun reset() {
        length = 0
    }

    /** Index after the empty line that starts with the line feed at [i], or 0 when there is none. */
    private fun separatorEnd(i: Int): Int {
        if (buffer[i] != LINE_FEED) return 0
        if (buffer[i + 1] == LINE_FEED) return i + 2
        return if (buffer[i + 1] == CARRIAGE_RETURN && i + 2 < length && buffer[i + 2] == LINE_FEED) i + 3 else 0
    }

    private fun idOf(event: ByteArray): Long? =
        event
            .decodeToString()
            .lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.substring(ID_FIELD.length)
            ?.trim()
            ?.toLongOrNull()

    private companion object {
        const val INITIAL_BYTES = 512

        /** Length of the longest separator of two events, minus one byte. */
        const val SEPARATOR_OVERLAP_BYTES = 2
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
