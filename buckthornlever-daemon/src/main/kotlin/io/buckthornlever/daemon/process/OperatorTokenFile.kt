package io.buckthornlever.daemon.process

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import java.security.MessageDigest

/** Operator token in a file that is reloaded when it changes, so that rotation needs no restart. */
internal class OperatorTokenFile(
    private val path: Path,
) {
    private var lastModified: FileTime? = null
    private var content: ByteArray = ByteArray(0)

    /** True when [candidate] equals the token; compares in constant time. */
    @Synchronized
    fun matches(candidate: String): Boolean {
        refresh()
        return content.isNotEmpty() && MessageDigest.isEqual(content, candidate.toByteArray())
    }

    /** True when the file can be read and is not empty. */
    @Synchronized
    fun isReadable(): Boolean {
        refresh()
        return content.isNotEmpty()
    }

    // When the file is unreadable, the last token stays valid, so that a rotation in progress does not lock operators out.
    private fun refresh() {
        try {
            val time = Files.getLastModifiedTime(path)
            if (time == lastModified) return
            content = Files.readString(path).trim().toByteArray()
            lastModified = time
        } catch (e: IOException) {
            return
        }
    }
}
