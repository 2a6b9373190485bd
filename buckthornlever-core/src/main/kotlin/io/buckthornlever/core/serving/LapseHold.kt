package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Tells whether a missing registration may only have lapsed while the store could not be reached. Living upstreams register
 * again soon after the store's return; from then on a missing one is gone. Not thread-safe.
 */
public class LapseHold {
    private var isStoreLost = false
    private var storeBackAt = Long.MIN_VALUE / 2

    /** A call to the store has failed. */
    public fun failed() {
        isStoreLost = true
    }

    /** The store has answered. */
    public fun answered(nanos: Long) {
        if (isStoreLost) storeBackAt = nanos
        isStoreLost = false
    }

    /** True while a missing registration may have lapsed. */
    public fun isOpen(nanos: Long): Boolean = isStoreLost || nanos - storeBackAt <= GRACE_PERIOD.toNanos()

    private companion object {
        /** With the time in which a return is noticed, shorter than the time after which an instance counts as in touch. */
        val GRACE_PERIOD: Duration = Duration.ofMillis(1_800)
    }
}
