package io.buckthornlever.gateway.connection

import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.serving.CallerMemoryBudget
import io.buckthornlever.core.serving.CallerRefusal
import io.buckthornlever.core.serving.HolderPhase
import io.buckthornlever.core.serving.MemoryHolder
import io.buckthornlever.core.serving.MemoryRelief
import io.netty.channel.EventLoop
import java.io.IOException
import java.util.IdentityHashMap
import java.util.concurrent.TimeUnit

/**
 * Applies the [CallerMemoryBudget] to the connections of all listeners of the process, on the event loop.
 *
 * @param observer is told of each refusal and each closed connection
 */
public class CallerMemory(
    private val budget: CallerMemoryBudget,
    private val loop: EventLoop,
    private val clock: Clock,
    private val observer: CallerLimitObserver = CallerLimitObserver.None,
) {
    private val connections = IdentityHashMap<MemoryHolder, CallerConnection>()
    private var isReliefScheduled = false
    private var isEmergency = false

    /** Freed when the heap is exhausted, so that connections can be closed then. */
    private var reserve: ByteArray? = ByteArray(RESERVE_BYTES)

    /** Bytes held now. */
    public val heldBytes: Long get() = budget.heldBytes

    /** Bytes that may be held at most. */
    public val limitBytes: Long get() = budget.limitBytes

    /** Connections from which nothing is read until there is room. */
    public val waitingCount: Int get() = budget.waitingCount

    /** True if [bytes] more can be held for another instance until it has read them. */
    public fun hasRoomFor(
        bytes: Int,
    ): Boolean = budget.hasRoomFor(bytes.toLong()).also { if (!it) refused(CallerRefusal.RELAY_TOO_LARGE_NOW) }

    internal fun add(connection: CallerConnection): MemoryHolder {
        val holder = MemoryHolder()
        connections[holder] = connection
        budget.add(holder, clock.monotonicNanos())
        return holder
    }

    internal fun remove(holder: MemoryHolder) {
        connections.remove(holder)
        budget.remove(holder)
        if (budget.waitingCount > 0) scheduleRelief(0)
    }

    internal fun update(
        holder: MemoryHolder,
        bytes: Long,
        phase: HolderPhase,
    ) {
        // Called for each read; most of them change nothing that is held.
        if (bytes != holder.bytes || phase != holder.phase) budget.update(holder, bytes, phase, clock.monotonicNanos())
        if (budget.isShort) scheduleRelief(if (budget.isExceeded) 0 else RELIEF_INTERVAL_MILLIS)
    }

    internal fun onMoved(
        holder: MemoryHolder,
        count: Int,
    ): Unit = budget.onMoved(holder, count.toLong(), clock.monotonicNanos())

    internal fun admitsHead(bytes: Int): Boolean = budget.admitsHead(bytes.toLong())

    internal fun mayRead(
        holder: MemoryHolder,
        rest: Int,
    ): Boolean {
        if (!budget.isShort) return true
        scheduleRelief(RELIEF_INTERVAL_MILLIS)
        return budget.mayRead(holder, rest.toLong(), clock.monotonicNanos())
    }

    internal val isShort: Boolean get() = budget.isShort

    internal fun refused(reason: CallerRefusal): Unit = observer.onRefused(reason)

    /**
     * Records that [cause] ends one connection. After an [OutOfMemoryError] the largest connections are closed too, so that the next one
     * does not strike in the event loop itself, which would end.
     */
    internal fun onConnectionFailed(cause: Throwable) {
        if (cause is OutOfMemoryError) relieveHeap()
        if (cause !is IOException) observer.onConnectionFailed(cause)
    }

    private fun relieveHeap() {
        reserve = null
        if (isEmergency) return
        isEmergency = true
        close(budget.emergencyRelief())
        loop.schedule({ endEmergency() }, EMERGENCY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun endEmergency() {
        isEmergency = false
        if (reserve == null) reserve = ByteArray(RESERVE_BYTES)
    }

    private fun scheduleRelief(millis: Long) {
        if (isReliefScheduled) return
        isReliefScheduled = true
        loop.schedule({ relieve() }, millis, TimeUnit.MILLISECONDS)
    }

    private fun relieve() {
        isReliefScheduled = false
        connections.values.toList().forEach { it.refresh() }
        val now = clock.monotonicNanos()
        close(budget.relief(now))
        budget.resumed(now).forEach { connections[it]?.resumeReading() }
        if (budget.isShort) scheduleRelief(RELIEF_INTERVAL_MILLIS)
    }

    private fun close(reliefs: List<MemoryRelief>) {
        for (relief in reliefs) {
            refused(relief.reason)
            connections.remove(relief.holder)?.giveUp()
        }
    }

    private companion object {
        const val RESERVE_BYTES = 1_024 * 1_024

        /** Time between two looks at who holds memory while it is short. */
        const val RELIEF_INTERVAL_MILLIS = 50L

        /** Time in which further failures count as the same shortage. */
        const val EMERGENCY_MILLIS = 500L
    }
}
