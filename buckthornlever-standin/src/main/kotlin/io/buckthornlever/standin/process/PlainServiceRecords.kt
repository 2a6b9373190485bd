package io.buckthornlever.standin.process

import io.buckthornlever.standin.request.PlainExecution
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** What a [PlainServiceStandIn] received and executed. */
public class PlainServiceRecords {
    private val executed = ConcurrentLinkedQueue<PlainExecution>()
    private val receivedCount = AtomicInteger()
    private val failedCount = AtomicInteger()
    private val refusedCount = AtomicInteger()
    private val lostCount = AtomicInteger()
    private val crashCount = AtomicInteger()

    /** Executions in the order of their beginning. */
    public val executions: List<PlainExecution>
        get() = executed.toList()

    /** Requests that arrived on a connection that was not silent, load reports and health checks excluded. */
    public val received: Int
        get() = receivedCount.get()

    /** Requests answered with an error by a fault switch. */
    public val failed: Int
        get() = failedCount.get()

    /** Requests refused with 503 because of overload. */
    public val refused: Int
        get() = refusedCount.get()

    /** Executed requests whose response was lost or withheld. */
    public val lostResponses: Int
        get() = lostCount.get()

    /** Crashes by overload while cold, by the marker or on demand. */
    public val crashes: Int
        get() = crashCount.get()

    /** Number of executions per `X-Standin-Key`. */
    public val executionsByKey: Map<String, Int>
        get() = executed.mapNotNull { it.key }.groupingBy { it }.eachCount()

    /** Number of executions per `X-Request-Id`. */
    public val executionsByRequestId: Map<String, Int>
        get() = executed.mapNotNull { it.requestId }.groupingBy { it }.eachCount()

    internal fun received() {
        receivedCount.incrementAndGet()
    }

    internal fun executed(execution: PlainExecution) {
        executed.add(execution)
    }

    internal fun failed() {
        failedCount.incrementAndGet()
    }

    internal fun refused() {
        refusedCount.incrementAndGet()
    }

    internal fun lost() {
        lostCount.incrementAndGet()
    }

    internal fun crashed() {
        crashCount.incrementAndGet()
    }
}
