package io.buckthornlever.gateway.connection

import io.netty.buffer.ByteBuf
import java.util.ArrayDeque

/**
 * Body of a request while it arrives. It takes parts of moderate size instead of one growing array, so that what it holds stays close
 * to what has arrived, also when a caller sends single bytes. The limit on the size of a request and the memory budget of all callers
 * bound it.
 */
internal class BodyBuffer {
    private val fullParts = ArrayDeque<ByteArray>()
    private var tail = EMPTY
    private var tailSize = 0

    /** Number of bytes received. */
    var size = 0
        private set

    /** Bytes of memory taken. */
    var heldBytes = 0
        private set

    /** Appends all bytes of [content]; [expected] is the size of the whole body, or -1 if unknown. */
    fun append(
        content: ByteBuf,
        expected: Int,
    ) {
        while (content.isReadable) {
            if (tailSize == tail.size) addTail(content.readableBytes(), expected)
            val count = minOf(content.readableBytes(), tail.size - tailSize)
            content.readBytes(tail, tailSize, count)
            tailSize += count
            size += count
        }
    }

    /** Returns the bytes received and gives back the memory. */
    fun take(): ByteArray {
        val bytes =
            when {
                size == 0 -> EMPTY
                fullParts.isEmpty() && tail.size == size -> tail
                else -> join()
            }
        clear()
        return bytes
    }

    /** Gives back the memory. */
    fun clear() {
        fullParts.clear()
        tail = EMPTY
        tailSize = 0
        size = 0
        heldBytes = 0
    }

    private fun addTail(
        wanted: Int,
        expected: Int,
    ) {
        if (tail.isNotEmpty()) fullParts.add(tail)
        val rest = if (expected > size) expected - size else MIN_PART_BYTES
        tail = ByteArray(minOf(rest, maxOf(wanted, MIN_PART_BYTES)))
        tailSize = 0
        heldBytes += tail.size
    }

    private fun join(): ByteArray {
        val joined = ByteArray(size)
        var position = 0
        for (part in fullParts) {
            part.copyInto(joined, position)
            position += part.size
        }
        tail.copyInto(joined, position, 0, tailSize)
        return joined
    }

    private companion object {
        val EMPTY = ByteArray(0)

        /** Smallest part of a body whose rest is not smaller. */
        const val MIN_PART_BYTES = 8 * 1_024
    }
}
