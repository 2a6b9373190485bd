package io.buckthornlever.daemon.process.control

import com.github.michaelbull.result.fold
import io.buckthornlever.api.process.Finding
import io.buckthornlever.peer.process.PeerKeys
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime

/**
 * Peer keys in a file that is reloaded when it changes. When the file is unreadable or invalid, the last keys stay in effect, so that
 * an error during a key rotation does not disconnect the instance from its peers.
 *
 * @param onRefused receives the errors in a changed file
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

    /** Returns the current keys; throws `IllegalStateException` when the file has never been valid. */
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
