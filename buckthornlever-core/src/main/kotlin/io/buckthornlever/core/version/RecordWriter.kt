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
internal class RecordWriter(
    private val key: ObjectKey,
    private val pool: PoolName,
) {
    private var known = false
    private var stored: MoveStatus? = null
    private var version: ObjectVersion? = null
    private var askedAt: Instant? = null

    /** The next call to the store, or null when none is needed or one is under way. */
    fun next(
        desired: MoveStatus?,
        now: Instant,
    ): MoveCommand? {
        if (desired == null || askedAt?.let { now < it.plus(RETRY_AFTER) } == true) return null
        if (!known) {
            askedAt = now
            return MoveCommand.ReadStatus(pool, key)
        }
        if (stored == desired) return null
        askedAt = now
        known = false
        return MoveCommand.WriteStatus(key, desired, version)
    }

    fun read(
        stored: MoveStatus?,
        version: ObjectVersion?,
    ) {
        known = true
        askedAt = null
        this.stored = stored
        this.version = version
    }

    /** A null [newVersion] stands for a write that failed or may have failed. */
    fun written(
        status: MoveStatus,
        newVersion: ObjectVersion?,
    ) {
        askedAt = null
        if (newVersion == null) return
        known = true
        stored = status
        version = newVersion
    }

    private companion object {
        /** A call without an answer for this time counts as lost. */
        val RETRY_AFTER: Duration = Duration.ofSeconds(2)
    }
}
