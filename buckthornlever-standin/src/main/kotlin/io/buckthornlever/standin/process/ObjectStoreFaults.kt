package io.buckthornlever.standin.process

import java.util.concurrent.atomic.AtomicInteger

/** Fault switches of an [ObjectStoreStandIn]. */
public class ObjectStoreFaults {
    private val lostResponses = AtomicInteger()

    @Volatile
    private var lostPrefix = ""

    /** Every call is answered with 503 and has no effect. */
    @Volatile
    public var outage: Boolean = false

    /** Time in milliseconds that each call waits before it is handled. */
    @Volatile
    public var delayMillis: Long = 0

    /**
     * The next [count] successful writes to keys that start with [keyPrefix] take effect, then their connection is
     * closed without an answer.
     */
    public fun loseResponses(
        count: Int,
        keyPrefix: String = "",
    ) {
        lostPrefix = keyPrefix
        lostResponses.set(count)
    }

    internal fun takeLostResponse(key: String): Boolean =
        key.startsWith(lostPrefix) && lostResponses.getAndUpdate { if (it > 0) it - 1 else 0 } > 0
}
