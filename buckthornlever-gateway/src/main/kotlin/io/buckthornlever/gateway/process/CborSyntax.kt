package io.buckthornlever.gateway.process

/** Checks that bytes are well-formed CBOR (RFC 8949, appendix C), independently of what they encode. */
internal object CborSyntax {
    private const val MAX_DEPTH = 32
    private const val MALFORMED = -1
    private const val BREAK = 0xff
    private const val MAJOR_TYPE_SHIFT = 5
    private const val ADDITIONAL_INFO_MASK = 0x1f
    private const val BYTE_STRING = 2
    private const val TEXT_STRING = 3
    private const val ARRAY = 4
    private const val MAP = 5
    private const val TAG = 6
    private const val FIRST_MULTI_BYTE_INFO = 24
    private const val LAST_MULTI_BYTE_INFO = 27
    private const val INDEFINITE_LENGTH = 31
    private const val BYTE_MASK = 0xff

    /** True if [bytes] consist of exactly one well-formed data item, nested at most [MAX_DEPTH] deep. */
    fun isCompleteItem(bytes: ByteArray): Boolean = endOfItem(bytes, 0, MAX_DEPTH) == bytes.size

    /** Index after the item that starts at [start], or [MALFORMED]. */
    private fun endOfItem(
        bytes: ByteArray,
        start: Int,
        depth: Int,
    ): Int {
        if (start !in bytes.indices || depth == 0) return MALFORMED
        val initial = bytes[start].toInt() and BYTE_MASK
        val majorType = initial shr MAJOR_TYPE_SHIFT
        val info = initial and ADDITIONAL_INFO_MASK
        if (info == INDEFINITE_LENGTH) return endOfIndefinite(bytes, start + 1, majorType, depth)
        val argumentBytes = argumentSize(info)
        val contentStart = start + 1 + argumentBytes
        if (argumentBytes < 0 || contentStart > bytes.size) return MALFORMED
        val argument = if (argumentBytes == 0) info.toLong() else readUnsigned(bytes, start + 1, argumentBytes)
        return when (majorType) {
            BYTE_STRING, TEXT_STRING -> if (argument in 0..bytes.size - contentStart) contentStart + argument.toInt() else MALFORMED
            ARRAY -> endOfItems(bytes, contentStart, argument, depth)
            MAP -> if (argument in 0..bytes.size) endOfItems(bytes, contentStart, argument * 2, depth) else MALFORMED
            TAG -> endOfItem(bytes, contentStart, depth - 1)
            else -> contentStart
        }
    }

    private fun endOfItems(
        bytes: ByteArray,
        start: Int,
        count: Long,
        depth: Int,
    ): Int {
        // Each item takes a byte at least.
        if (count !in 0..bytes.size - start) return MALFORMED
        var position = start
        repeat(count.toInt()) {
            position = endOfItem(bytes, position, depth - 1)
            if (position == MALFORMED) return MALFORMED
        }
        return position
    }

    /** Index after the break that ends an item of indefinite length whose content starts at [start], or [MALFORMED]. */
    private fun endOfIndefinite(
        bytes: ByteArray,
        start: Int,
        majorType: Int,
        depth: Int,
    ): Int {
        if (majorType !in BYTE_STRING..MAP) return MALFORMED
        var position = start
        var count = 0
        while (position in bytes.indices) {
            if (bytes[position].toInt() and BYTE_MASK == BREAK) {
                return if (majorType == MAP && count % 2 == 1) MALFORMED else position + 1
            }
            position = endOfItem(bytes, position, depth - 1)
            count++
        }
        return MALFORMED
    }

    private fun argumentSize(info: Int): Int =
        when {
            info < FIRST_MULTI_BYTE_INFO -> 0
            info <= LAST_MULTI_BYTE_INFO -> 1 shl (info - FIRST_MULTI_BYTE_INFO)
            else -> MALFORMED
        }

    /** Big-endian number of [size] bytes; negative if it exceeds [Long.MAX_VALUE]. */
    private fun readUnsigned(
        bytes: ByteArray,
        start: Int,
        size: Int,
    ): Long {
        var value = 0L
        for (i in start until start + size) value = (value shl Byte.SIZE_BITS) or (bytes[i].toLong() and BYTE_MASK.toLong())
        return value
    }
}
