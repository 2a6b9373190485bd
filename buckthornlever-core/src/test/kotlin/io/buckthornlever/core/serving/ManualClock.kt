package io.buckthornlever.core.serving

import io.buckthornlever.api.process.Clock
import java.time.Instant

/** A clock that stands still until a test moves it. */
internal class ManualClock(
    var nanos: Long = 0,
) : Clock {
    override fun now(): Instant = Instant.EPOCH.plusNanos(nanos)

    override fun monotonicNanos(): Long = nanos
}
