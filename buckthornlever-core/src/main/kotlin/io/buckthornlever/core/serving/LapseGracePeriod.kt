package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Tells whether a missing registration may only have lapsed while the store could not be reached. Living upstreams register
 * again soon after the store's return; from then on a missing one is gone. Not thread-safe.
 */
public class LapseGracePeriod {
    private var isLost = false
    private var backAt = Long.MIN_VALUE / 2

    /** A call to the store has failed. */
    public fun onStoreFailed() {
        isLost = true
    }

    /** The store has answered. */
    public fun onStoreAnswered(nanos: Long) {
        if (isLost) backAt = nanos
        isLost = false
    }

    /** True while a missing registration may have lapsed. */
    public fun isActive(nanos: Long): Boolean = isLost || nanos - backAt <= HOLD.toNanos()

    private companion object {
        /** With the time in which a return is noticed, shorter than the time after which an instance counts as in touch. */
        val HOLD: Duration = Duration.ofMillis(1_800)
    }
}
