package io.buckthornlever.gateway.request

import io.buckthornlever.core.serving.PlacementQuery
import io.buckthornlever.core.serving.RequestPriority
import io.buckthornlever.core.serving.WaitQueue
import io.buckthornlever.gateway.process.GatewayEvent
import java.util.concurrent.TimeUnit

/**
 * Queues of requests that wait for an upstream with free capacity, by service. Placement is retried when a request ends, when
 * an upstream registers, and on a timer.
 */
internal class PlacementQueues(
    private val context: ServingContext,
) {
    private val queues = HashMap<String, WaitQueue<ProxiedRequest>>()
    private var isRetryScheduled = false

    val waitingCount: Int get() = queues.values.sumOf { it.size }

    /** Adds [run] and serves the queue, so that [run] is placed at once if no request ahead of it can be. */
    fun add(
        run: ProxiedRequest,
        service: String,
        priority: RequestPriority,
        isBeyondShare: Boolean,
        deadlineNanos: Long,
    ) {
        queues.getOrPut(service) { WaitQueue() }.add(run, priority, deadlineNanos, isBeyondShare)
        retry(service)
        if (waitingCount > 0) scheduleRetry()
    }

    fun remove(
        run: ProxiedRequest,
        service: String,
    ) {
        queues[service]?.remove(run)
    }

    /** Tries to place the requests that wait for [service], in queue order. */
    fun retry(service: String) {
        queues[service]?.drain { it.tryPlace() }
    }

    fun retryAll(): Unit = queues.keys.toList().forEach(::retry)

    /** Logs and counts what keeps the upstreams from taking the request [requestId], which has waited in vain. */
    fun recordShortage(
        requestId: String?,
        query: PlacementQuery,
        nanos: Long,
    ) {
        val shortage = context.balancer.shortage(query, nanos)
        shortage.obstacles.forEach { (obstacle, count) -> context.metrics.recordObstructed(query.service, obstacle, count) }
        context.log.write(
            GatewayEvent.PLACEMENT_FAILED,
            "request" to requestId,
            "service" to query.service,
            "obstacles" to shortage.obstacles,
            "tried" to shortage.tried,
            "ownInFlight" to shortage.ownInFlight,
            "oldestLoadMillis" to shortage.oldestLoadAge?.toMillis(),
        )
    }

    private fun scheduleRetry() {
        if (isRetryScheduled) return
        isRetryScheduled = true
        context.loop.schedule({ onRetryTimer() }, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun onRetryTimer() {
        isRetryScheduled = false
        retryAll()
        if (waitingCount > 0) scheduleRetry()
    }

    private companion object {
        /** Capacity that becomes free without an event, such as the next request of a cold upstream, is found within this time. */
        const val RETRY_INTERVAL_MILLIS = 20L
    }
}
