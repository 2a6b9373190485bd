package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Tells whether a missing registration may merely have expired because the shared store was unreachable. Running upstreams
 * register again soon after the store is back; after that grace period a missing upstream is gone. Not thread-safe.
 */
public class LapseGracePeriod {
    private var isStoreLost = false
    private var storeBackAt = Long.MIN_VALUE / 2

    /** Records that a call to the store failed. */
    public fun onStoreFailed() {
        isStoreLost = true
    }

    /** Records that the store answered at [nanos]. */
    public fun onStoreAnswered(nanos: Long) {
        if (isStoreLost) storeBackAt = nanos
        isStoreLost = false
    }

    /** Records at [nanos] that the store was restored from a copy, which lacks the newest registrations. */
    public fun onStoreRestored(nanos: Long) {
        storeBackAt = nanos
    }

    /** True while a missing registration may only have expired. */
    public fun isActive(nanos: Long): Boolean = isStoreLost || nanos - storeBackAt <= GRACE_PERIOD.toNanos()

    private companion object {
        /** Plus the delay until the store's return is noticed, shorter than the time after which an instance counts as reconnected. */
        val GRACE_PERIOD: Duration = Duration.ofMillis(1_800)
    }
}
