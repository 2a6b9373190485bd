package io.buckthornlever.standin.process

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Fault switches of a [CloudStandIn]. */
public class CloudFaults {
    private val lost = AtomicInteger()
    private val refusals = AtomicInteger()

    /** Failure domains in which every creation is refused with 409; may be changed at any time. */
    public val refusedDomains: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Every call is answered with 503 and has no effect. */
    @Volatile
    public var outage: Boolean = false

    /** Time in milliseconds that each call waits before it is handled. */
    @Volatile
    public var delayMillis: Long = 0

    /** The next [count] creations are refused with 409. */
    public fun refuseCreations(count: Int): Unit = refusals.set(count)

    /** The next [count] creations and deletions take effect, then their connection is closed without an answer. */
    public fun loseResponses(count: Int): Unit = lost.set(count)

    internal fun takeRefusal(): Boolean = take(refusals)

    internal fun takeLostResponse(): Boolean = take(lost)

    private fun take(count: AtomicInteger): Boolean = count.getAndUpdate { if (it > 0) it - 1 else 0 } > 0
}
