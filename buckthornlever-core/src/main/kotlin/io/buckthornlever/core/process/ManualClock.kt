package io.buckthornlever.core.process

import io.buckthornlever.api.process.Clock
import java.time.Duration
import java.time.Instant

/** Clock that advances only by [advance]; used in tests and experiments. */
public class ManualClock(
    start: Instant = Instant.EPOCH,
) : Clock {
    private var elapsed: Duration = Duration.ZERO
    private val origin: Instant = start

    override fun now(): Instant = origin.plus(elapsed)

    override fun monotonicNanos(): Long = elapsed.toNanos()

    /** Advances the time by [step], which must not be negative. */
    public fun advance(step: Duration) {
        require(!step.isNegative) { "step $step must not be negative" }
        elapsed = elapsed.plus(step)
    }
}
