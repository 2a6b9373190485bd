package io.buckthornlever.standin.process

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** What a [WeightStoreStandIn] received and delivered. */
public class WeightStoreRecords {
    private val delivered = ConcurrentLinkedQueue<String>()
    private val callCount = AtomicInteger()
    private val limitedCount = AtomicInteger()
    private val brokenCount = AtomicInteger()

    /** Complete downloads in order, as `model/version`. */
    public val downloads: List<String>
        get() = delivered.toList()

    /** Calls, refused ones included. */
    public val calls: Int
        get() = callCount.get()

    /** Calls refused by the rate limit. */
    public val rateLimited: Int
        get() = limitedCount.get()

    /** Downloads that broke off by [WeightStoreFaults.breakDownloads]. */
    public val broken: Int
        get() = brokenCount.get()

    internal fun called() {
        callCount.incrementAndGet()
    }

    internal fun limited() {
        limitedCount.incrementAndGet()
    }

    internal fun broken() {
        brokenCount.incrementAndGet()
    }

    internal fun delivered(name: String) {
        delivered.add(name)
    }
}
