package io.buckthornlever.gateway.request

import io.buckthornlever.core.serving.WaitQueue
import java.util.concurrent.TimeUnit

/** Requests that wait for room, by service. They are tried again when a request ends, an upstream appears, and on a timer. */
internal class PlacementQueues(
    private val context: ServingContext,
) {
    private val queues = HashMap<String, WaitQueue<ServingRun>>()
    private var timerSet = false

    val waitingCount: Int get() = queues.values.sumOf { it.size }

    fun add(
        run: ServingRun,
        service: String,
        rank: Int,
        deadlineNanos: Long,
    ) {
        queues.getOrPut(service) { WaitQueue() }.add(run, rank, deadlineNanos)
        setTimer()
    }

    fun remove(
        run: ServingRun,
        service: String,
    ) {
        queues[service]?.remove(run)
    }

    /** Tries the requests that wait for [service], in their order, until one finds no room. */
    fun retry(service: String) {
        val queue = queues[service] ?: return
        for (run in queue.snapshot()) if (!run.tryPlace()) return
    }

    fun retryAll(): Unit = queues.keys.toList().forEach(::retry)

    private fun setTimer() {
        if (timerSet) return
        timerSet = true
        context.loop.schedule({ tick() }, RETRY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun tick() {
        timerSet = false
        retryAll()
        if (waitingCount > 0) setTimer()
    }

    private companion object {
        /** Room that appears without an event, such as the next request of a cold upstream, is found within this time. */
        const val RETRY_MILLIS = 20L
    }
}
