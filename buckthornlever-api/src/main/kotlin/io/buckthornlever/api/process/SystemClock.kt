package io.buckthornlever.api.process

import java.time.Instant

/** The clock of the machine. */
public object SystemClock : Clock {
    override fun now(): Instant = Instant.now()

    override fun monotonicNanos(): Long = System.nanoTime()
}
