package io.buckthornlever.daemon.process

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import java.security.MessageDigest

/** A secret that lives in a file and is read again when the file changes, so that rotation needs no restart. */
internal class OperatorTokenFile(
    private val path: Path,
) {
    private var lastModified: FileTime? = null
    private var content: ByteArray = ByteArray(0)

    /** True when [candidate] equals the secret; the comparison takes the same time for every candidate. */
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

    // An unreadable file keeps the last secret, so that a rotation in progress locks nobody out.
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
