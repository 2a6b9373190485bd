package io.buckthornlever.core.version

import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import java.time.Duration
import java.time.Instant

/**
 * Brings a move's stored record in line with the desired one. Reads before the first write and after every write that failed or
 * whose answer was lost, so that a repeated write never overwrites a newer record.
 */
internal class MoveStatusWriter(
    private val key: ObjectKey,
    private val pool: PoolName,
) {
    private var isStoredKnown = false
    private var stored: MoveStatus? = null
    private var version: ObjectVersion? = null
    private var callStartedAt: Instant? = null

    /** The next call to the store, or null when none is needed or one is under way. */
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

    fun onRead(
        stored: MoveStatus?,
        version: ObjectVersion?,
    ) {
        isStoredKnown = true
        callStartedAt = null
        this.stored = stored
        this.version = version
    }

    /** A null [newVersion] stands for a write that failed or may have failed. */
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
        /** A call without an answer for this time counts as lost. */
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
