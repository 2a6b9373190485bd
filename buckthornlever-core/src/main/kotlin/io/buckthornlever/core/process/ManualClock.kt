package io.buckthornlever.core.process

import io.buckthornlever.api.process.Clock
import java.time.Duration
import java.time.Instant

/** Clock that moves only when told to; drives state machines in tests and experiments. */
public class ManualClock(
    start: Instant = Instant.EPOCH,
) : Clock {
    private var elapsed: Duration = Duration.ZERO
    private val origin: Instant = start

    override fun now(): Instant = origin.plus(elapsed)

    override fun monotonicNanos(): Long = elapsed.toNanos()

    /** Moves the time forward by [step]. */
    public fun advance(step: Duration) {
        require(!step.isNegative) { "step must not be negative" }
        elapsed = elapsed.plus(step)
    }
}
