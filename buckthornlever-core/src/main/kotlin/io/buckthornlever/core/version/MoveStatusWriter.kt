package io.buckthornlever.core.version

import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.version.MoveStatus
import java.time.Duration
import java.time.Instant

/**
 * Reconciles a move's stored record with the desired one. It reads before the first write, and again after every write that failed or
 * whose response was lost, so that a retried write never overwrites a newer record.
 */
internal class MoveStatusWriter(
    private val key: ObjectKey,
    private val pool: PoolName,
) {
    private var isStoredKnown = false
    private var stored: MoveStatus? = null
    private var version: ObjectVersion? = null
    private var callStartedAt: Instant? = null

    /** Returns the next call to the store, or null when none is needed or one is in progress. */
    fun nextCommand(
        desired: MoveStatus?,
        now: Instant,
    ): MoveCommand? {
        if (desired == null || callStartedAt?.let { now < it.plus(CALL_TIMEOUT) } == true) return null
        if (!isStoredKnown) {
            callStartedAt = now
            return MoveCommand.ReadStatus(pool, key)
        }
        if (stored == desired) return null
        callStartedAt = now
        isStoredKnown = false
        return MoveCommand.WriteStatus(key, desired, version)
    }

    /** The store may have lost the record; it is read before the next write. */
    fun onStoreRestored() {
        isStoredKnown = false
    }

    fun onRead(
        stored: MoveStatus?,
        version: ObjectVersion?,
    ) {
        isStoredKnown = true
        callStartedAt = null
        this.stored = stored
        this.version = version
    }

    /** A null [newVersion] means that the write failed or may have failed. */
    fun onWritten(
        status: MoveStatus,
        newVersion: ObjectVersion?,
    ) {
        callStartedAt = null
        if (newVersion == null) return
        isStoredKnown = true
        stored = status
        version = newVersion
    }

    private companion object {
        /** A call without a response for this long counts as lost. */
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
