package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import java.time.Instant

/** The machine's clocks. */
public object SystemClock : Clock {
    override fun now(): Instant = Instant.now()

    override fun monotonicNanos(): Long = System.nanoTime()
}
