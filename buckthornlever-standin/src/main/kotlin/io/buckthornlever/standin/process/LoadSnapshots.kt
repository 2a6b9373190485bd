package io.buckthornlever.standin.process

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.process.Clock
import java.time.Instant

/** Serves load reports that are renewed only when the last one has reached the allowed age. */
internal class LoadSnapshots(
    private val clock: Clock,
    private val measure: (Instant) -> LoadReport,
) {
    private var last: LoadReport? = null
    private var measuredNanos = 0L

    @Synchronized
    fun report(maxAgeMillis: Long): LoadReport {
        val now = clock.monotonicNanos()
        val kept = last
        if (kept != null && now - measuredNanos < maxAgeMillis * NANOS_PER_MILLI) return kept
        measuredNanos = now
        return measure(clock.now()).also { last = it }
    }

    /** Forgets the last report, because a restarted process has none. */
    @Synchronized
    fun clear() {
        last = null
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
