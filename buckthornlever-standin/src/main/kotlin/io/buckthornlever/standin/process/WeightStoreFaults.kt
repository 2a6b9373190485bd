package io.buckthornlever.standin.process

import java.util.concurrent.ConcurrentHashMap

/** Fault switches of a [WeightStoreStandIn]. */
public class WeightStoreFaults {
    /** Versions that are answered with 404, as `model/version`; may be changed at any time. */
    public val missing: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Every call is answered with 503. */
    @Volatile
    public var outage: Boolean = false

    /** Time in milliseconds that each call waits before it is handled. */
    @Volatile
    public var delayMillis: Long = 0

    /** The connection is closed after half of the content. */
    @Volatile
    public var breakDownloads: Boolean = false
}
