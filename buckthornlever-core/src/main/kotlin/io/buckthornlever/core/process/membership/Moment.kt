package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.Clock

/**
 * One reading of the monotonic clock and the wall clock.
 *
 * @property nanos monotonic time in nanoseconds
 * @property wallMillis wall-clock time in milliseconds since the epoch; may jump
 */
public data class Moment(
    val nanos: Long,
    val wallMillis: Long,
) {
    public companion object {
        /** Reads [clock]. */
        public fun of(clock: Clock): Moment = Moment(clock.monotonicNanos(), clock.now().toEpochMilli())
    }
}
