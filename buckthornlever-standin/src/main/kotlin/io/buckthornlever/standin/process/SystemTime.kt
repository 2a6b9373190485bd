package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock
import java.time.Instant

/** Clock of the machine, used when a stand-in gets no other one. */
internal object SystemTime : Clock {
    override fun now(): Instant = Instant.now()

    override fun monotonicNanos(): Long = System.nanoTime()
}
