package io.buckthornlever.api.process

import java.time.Instant

/** [Clock] that reads the system time. */
public object SystemClock : Clock {
    override fun now(): Instant = Instant.now()

    override fun monotonicNanos(): Long = System.nanoTime()
}
