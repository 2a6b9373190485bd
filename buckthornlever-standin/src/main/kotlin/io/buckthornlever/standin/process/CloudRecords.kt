package io.buckthornlever.standin.process

import io.buckthornlever.standin.request.CloudOrder
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** What a [CloudStandIn] received and executed. */
public class CloudRecords {
    private val received = ConcurrentLinkedQueue<CloudOrder>()
    private val removed = ConcurrentLinkedQueue<String>()
    private val callCount = AtomicInteger()
    private val lost = AtomicInteger()

    /** Creation requests in the order of arrival, refused and repeated ones included. */
    public val creations: List<CloudOrder>
        get() = received.toList()

    /** Ids of instances that callers deleted, in order. */
    public val deletions: List<String>
        get() = removed.toList()

    /** Calls of all kinds, refused ones included. */
    public val calls: Int
        get() = callCount.get()

    /** Executed creations and deletions whose response was lost. */
    public val lostResponses: Int
        get() = lost.get()

    internal fun called() {
        callCount.incrementAndGet()
    }

    internal fun ordered(order: CloudOrder) {
        received.add(order)
    }

    internal fun deleted(id: String) {
        removed.add(id)
    }

    internal fun lostResponse() {
        lost.incrementAndGet()
    }
}
