package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock
import java.time.Instant

internal object FixedClock : Clock {
    override fun now(): Instant = Instant.EPOCH

    override fun monotonicNanos(): Long = 0
}
