package io.buckthornlever.api.process

import java.time.Instant

/** Source of the current time; tests replace it by a manually advanced clock. */
public interface Clock {
    /** Wall-clock time; may jump forwards or backwards. */
    public fun now(): Instant

    /** Monotonic time, in nanoseconds from an arbitrary origin. */
    public fun monotonicNanos(): Long
}
