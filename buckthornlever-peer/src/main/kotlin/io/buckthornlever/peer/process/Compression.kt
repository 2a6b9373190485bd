package io.buckthornlever.peer.process

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** Deflate compression of frame payloads. Without it, a pool table of 10,000 upstreams exceeds the frame limit. */
internal object Compression {
    /** Limits the memory that a small frame can allocate when it is inflated. */
    const val MAX_INFLATED_BYTES: Int = 16 * 1_048_576
    private const val BUFFER_BYTES = 65_536

    fun deflate(bytes: ByteArray): ByteArray {
        val deflater = Deflater(Deflater.BEST_SPEED)
        try {
            deflater.setInput(bytes)
            deflater.finish()
            val out = ByteArrayOutputStream(bytes.size / 4 + 64)
            val buffer = ByteArray(BUFFER_BYTES)
            while (!deflater.finished()) out.write(buffer, 0, deflater.deflate(buffer))
            return out.toByteArray()
        } finally {
            deflater.end()
        }
    }

    /** Returns the original bytes, or null if [bytes] are malformed or truncated or would inflate to more than [MAX_INFLATED_BYTES]. */
    fun inflate(bytes: ByteArray): ByteArray? {
        val inflater = Inflater()
        try {
            inflater.setInput(bytes)
            val out = ByteArrayOutputStream(bytes.size * 4)
            val buffer = ByteArray(BUFFER_BYTES)
            while (!inflater.finished()) {
                val count = inflater.inflate(buffer)
                if (count == 0) return null
                if (out.size() + count > MAX_INFLATED_BYTES) return null
                out.write(buffer, 0, count)
            }
            return out.toByteArray()
        } catch (e: DataFormatException) {
            return null
        } finally {
            inflater.end()
        }
    }
}
