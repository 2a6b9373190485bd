package io.buckthornlever.daemon.request

import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream

/** Reads the lines of [input] as UTF-8; a line of more than [maxBytes] is an error, so that no upstream can fill the memory. */
internal class BoundedLines(
    input: InputStream,
    private val maxBytes: Int,
) {
    private val bytes = BufferedInputStream(input)
    private val line = ByteArrayOutputStream()

    /** Returns the next line without its line break, or null at the end of the input. */
    fun next(): String? {
        line.reset()
        while (true) {
            val byte = bytes.read()
            if (byte < 0) return if (line.size() == 0) null else text()
            if (byte == LINE_FEED) return text()
            if (line.size() >= maxBytes) throw IOException("line exceeds $maxBytes bytes")
            line.write(byte)
        }
    }

    private fun text(): String = line.toString(Charsets.UTF_8).removeSuffix("\r")

    private companion object {
        const val LINE_FEED = '\n'.code
    }
}
