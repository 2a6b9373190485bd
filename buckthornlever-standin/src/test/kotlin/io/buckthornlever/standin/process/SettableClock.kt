package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock
import java.time.Instant

internal class SettableClock : Clock {
    @Volatile
    var millis = 0L

    override fun now(): Instant = Instant.ofEpochMilli(millis)

    override fun monotonicNanos(): Long = millis * 1_000_000
}
