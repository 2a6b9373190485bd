package io.buckthornlever.standin.process

import io.buckthornlever.standin.request.StoreCall
import io.buckthornlever.standin.request.StoreWrite
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** What an [ObjectStoreStandIn] received and executed. */
public class ObjectStoreRecords {
    private val callsByKind = ConcurrentHashMap<StoreCall, AtomicInteger>()
    private val limitedByKind = ConcurrentHashMap<StoreCall, AtomicInteger>()
    private val appliedWrites = ConcurrentLinkedQueue<StoreWrite>()
    private val lost = AtomicInteger()

    /** Writes that took effect, in the order of their versions. */
    public val writes: List<StoreWrite>
        get() = appliedWrites.sortedBy { it.version }

    /** Writes that took effect and whose response was lost. */
    public val lostResponses: Int
        get() = lost.get()

    /** Calls of all kinds, refused ones included. */
    public val totalCalls: Int
        get() = callsByKind.values.sumOf { it.get() }

    /** Calls of [kind], refused ones included; a waiting watch counts once. */
    public fun calls(kind: StoreCall): Int = callsByKind[kind]?.get() ?: 0

    /** Calls of [kind] that were refused by the rate limit. */
    public fun rateLimited(kind: StoreCall): Int = limitedByKind[kind]?.get() ?: 0

    internal fun called(kind: StoreCall) {
        callsByKind.computeIfAbsent(kind) { AtomicInteger() }.incrementAndGet()
    }

    internal fun limited(kind: StoreCall) {
        limitedByKind.computeIfAbsent(kind) { AtomicInteger() }.incrementAndGet()
    }

    internal fun lostResponse() {
        lost.incrementAndGet()
    }

    internal fun written(
        key: String,
        version: Long,
        value: String?,
    ) {
        appliedWrites.add(StoreWrite(key, version, value))
    }
}
