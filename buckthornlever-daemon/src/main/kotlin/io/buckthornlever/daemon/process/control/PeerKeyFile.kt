package io.buckthornlever.daemon.process.control

import com.github.michaelbull.result.fold
import io.buckthornlever.api.process.Finding
import io.buckthornlever.peer.process.PeerKeys
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime

/**
 * Peer keys in a file that is read again when it changes. A file that cannot be read or is faulty leaves the last keys in effect, so
 * that an error during a rotation does not cut the instance off.
 *
 * @param onRefused receives the faults of a changed file
 */
internal class PeerKeyFile(
    private val path: Path,
    private val onRefused: (List<Finding>) -> Unit,
) {
    @Volatile
    private var checkedAtNanos = System.nanoTime() - CHECK_INTERVAL_NANOS
    private var lastModified: FileTime? = null

    @Volatile
    private var keys: PeerKeys? = null

    /** Present keys; fails when the file has never been valid. */
    fun get(): PeerKeys {
        if (System.nanoTime() - checkedAtNanos >= CHECK_INTERVAL_NANOS) refresh()
        return checkNotNull(keys) { "no valid peer key in $path" }
    }

    @Synchronized
    private fun refresh() {
        checkedAtNanos = System.nanoTime()
        try {
            val time = Files.getLastModifiedTime(path)
            if (time == lastModified) return
            lastModified = time
            PeerKeys.parse(Files.readString(path)).fold(success = { keys = it }, failure = onRefused)
        } catch (e: IOException) {
            onRefused(listOf(Finding(path.toString(), "cannot be read: ${e.message}")))
        }
    }

    private companion object {
        const val CHECK_INTERVAL_NANOS = 1_000_000_000L
    }
}
