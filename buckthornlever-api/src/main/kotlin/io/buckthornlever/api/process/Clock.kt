package io.buckthornlever.api.process

import java.time.Instant

/** Source of time for every decision; tests pass a manual one. */
public interface Clock {
    /** Wall-clock time; may jump. */
    public fun now(): Instant

    /** Nanoseconds from an arbitrary origin; never goes back. */
    public fun monotonicNanos(): Long
}
