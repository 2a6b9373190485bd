package io.buckthornlever.standin.process

import java.util.concurrent.atomic.AtomicInteger

/** What an [InstanceListStandIn] received. */
public class InstanceListRecords {
    private val received = AtomicInteger()

    /** Calls, refused ones included. */
    public val calls: Int
        get() = received.get()

    internal fun called() {
        received.incrementAndGet()
    }
}
