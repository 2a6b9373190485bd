package io.buckthornlever.bench.version

import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.version.MoveStatus
import java.time.Instant

/** Stored record of one move with outages; every tenth write takes effect although its answer is lost. */
internal class MoveStore(
    private val down: (Instant) -> Boolean,
) {
    var status: MoveStatus? = null
        private set
    var version: ObjectVersion? = null
        private set
    private var writes = 0

    fun available(now: Instant): Boolean = !down(now)

    /** The new version, or null when the write failed or its answer was lost. */
    fun write(
        written: MoveStatus,
        expected: ObjectVersion?,
        now: Instant,
    ): ObjectVersion? {
        if (down(now) || expected != version) return null
        writes++
        status = written
        version = ObjectVersion((version?.value ?: 0) + 1)
        return if (writes % 10 == 0) null else version
    }
}
