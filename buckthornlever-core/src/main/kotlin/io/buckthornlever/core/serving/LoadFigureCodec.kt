package io.buckthornlever.core.serving

import java.io.ByteArrayOutputStream

/**
 * Encodes load figures for messages between instances, in 9 to 14 bytes each: the key of the upstream (4 bytes), the age in units of
 * [AGE_UNIT_MILLIS] (1 byte), and running requests, waiting requests and hundredths of the slowdown as numbers of variable length.
 * 300 upstreams take some 3 kB.
 */
internal object LoadFigureCodec {
    private const val AGE_UNIT_MILLIS = 16
    private const val NANOS_PER_MILLI = 1_000_000L
    private const val MAX_AGE_UNITS = 255
    private const val BYTE_MASK = 0xff
    private const val BITS_PER_BYTE = 8
    private const val VARINT_BITS = 7
    private const val VARINT_MASK = 0x7f
    private const val MAX_VARINT_BITS = 28
    private const val SLOWDOWN_UNITS = 100.0
    private const val MAX_FIGURE_BYTES = 17

    /** Oldest figure that can be encoded. */
    const val MAX_AGE_NANOS: Long = MAX_AGE_UNITS * AGE_UNIT_MILLIS * NANOS_PER_MILLI

    /** Encodes [figures] by the keys of their upstreams, as many as fit into [maxBytes], and calls [onEncoded] for those. */
    fun encode(
        figures: List<Pair<Int, LoadFigure>>,
        nanos: Long,
        maxBytes: Int,
        onEncoded: (index: Int) -> Unit = {},
    ): ByteArray {
        val out = ByteArrayOutputStream()
        for ((index, next) in figures.withIndex()) {
            val (life, figure) = next
            if (out.size() + MAX_FIGURE_BYTES > maxBytes) break
            for (shift in Int.SIZE_BITS - BITS_PER_BYTE downTo 0 step BITS_PER_BYTE) out.write(life ushr shift)
            out.write(((nanos - figure.nanos) / NANOS_PER_MILLI / AGE_UNIT_MILLIS).coerceIn(0, MAX_AGE_UNITS.toLong()).toInt())
            writeNumber(out, figure.running)
            writeNumber(out, figure.waiting)
            writeNumber(out, figure.slowdown?.let { Math.round(it * SLOWDOWN_UNITS).toInt() } ?: 0)
            onEncoded(index)
        }
        return out.toByteArray()
    }

    /** Passes the figures in [bytes] to [each], with their times if they were sent at [nanos]; stops at the first malformed one. */
    fun decode(
        bytes: ByteArray,
        nanos: Long,
        each: (life: Int, figure: LoadFigure) -> Unit,
    ) {
        val reader = Reader(bytes)
        while (reader.hasMore) {
            val life = reader.fixed(Int.SIZE_BYTES) ?: return
            val age = reader.fixed(1) ?: return
            val running = reader.number() ?: return
            val waiting = reader.number() ?: return
            val slowdown = reader.number() ?: return
            val stated = nanos - age * AGE_UNIT_MILLIS * NANOS_PER_MILLI
            LoadFigure.of(running, waiting, null, (slowdown / SLOWDOWN_UNITS).takeIf { slowdown > 0 }, stated)?.let { each(life, it) }
        }
    }

    private fun writeNumber(
        out: ByteArrayOutputStream,
        number: Int,
    ) {
        var rest = number
        while (rest > VARINT_MASK) {
            out.write(rest and VARINT_MASK or (VARINT_MASK + 1))
            rest = rest ushr VARINT_BITS
        }
        out.write(rest)
    }

    private class Reader(
        private val bytes: ByteArray,
    ) {
        private var position = 0
        val hasMore: Boolean get() = position < bytes.size

        fun fixed(size: Int): Int? {
            if (position + size > bytes.size) return null
            var number = 0
            repeat(size) { number = number shl BITS_PER_BYTE or (bytes[position++].toInt() and BYTE_MASK) }
            return number
        }

        fun number(): Int? {
            var number = 0
            for (shift in 0..<MAX_VARINT_BITS step VARINT_BITS) {
                val next = fixed(1) ?: return null
                number = number or ((next and VARINT_MASK) shl shift)
                if (next <= VARINT_MASK) return number
            }
            return null
        }
    }
}
