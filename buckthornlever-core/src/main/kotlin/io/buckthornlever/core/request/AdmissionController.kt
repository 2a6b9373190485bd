package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.WorkClass
import java.time.Duration

/**
 * Admission control of one entry instance: weighted fair queueing among client accounts, with bounded queues and deadlines.
 *
 * A request can be refused only while it waits. Once started it never returns to the queue, so a refusal always means that the
 * request was not run. Not thread-safe: all calls must come from one thread or be made under one lock.
 */
public class AdmissionController(
    private val clock: Clock,
    private val settings: AdmissionSettings = AdmissionSettings(),
) : AdmissionQueue {
    private val queues = LinkedHashMap<PoolName, FairQueue>()
    private val pendingEvents = ArrayList<AdmissionEvent>()
    private var weights: Map<AccountId, Double> = emptyMap()

    override val waiting: Int get() = queues.values.sumOf { it.waiting }

    override val nextDeadline: Long get() = queues.values.minOfOrNull { it.nextDeadline } ?: Long.MAX_VALUE

    override fun configure(accounts: AccountTable) {
        weights = accounts.accounts.associate { it.id to maxOf(MIN_WEIGHT, it.weight) }
        queues.values.forEach { it.refreshWeights() }
    }

    override fun offer(request: AdmissionRequest): RequestError? {
        val now = clock.monotonicNanos()
        val queue = queues.getOrPut(request.primaryPool) { FairQueue(settings) { weights[it] ?: 1.0 } }
        if (request.startDeadlineNanos < now) return refusal(ErrorCode.DEADLINE_EXCEEDED, "no time left to start the request")
        if (queue.waiting(request.account) >= settings.maxWaitingPerAccount) {
            return refusal(ErrorCode.TOO_MANY_REQUESTS, "too many waiting requests of this account", estimatedRetryAfter(queue, request))
        }
        val wait = queue.expectedWaitNanos(request)
        if (wait != null && wait > request.startDeadlineNanos - now) {
            return refusal(ErrorCode.OVERLOADED, "the wait would exceed the request's time", boundedRetryAfter(wait))
        }
        queue.add(request, now)
        if (waiting > settings.maxWaiting && dropFromLongestQueue(queue) == request) {
            pendingEvents.removeAll { it.request == request }
            return refusal(ErrorCode.OVERLOADED, "the queue is full", estimatedRetryAfter(queue, request))
        }
        return null
    }

    override fun poll(select: (AdmissionRequest) -> Selection): List<AdmissionEvent> {
        val now = clock.monotonicNanos()
        val events = ArrayList<AdmissionEvent>(pendingEvents)
        pendingEvents.clear()
        val expired = ArrayList<AdmissionRequest>()
        for (queue in queues.values) {
            queue.expire(now, expired)
            startRequests(queue, select, now, events)
        }
        expired.mapTo(events) { AdmissionEvent.Refused(it, refusal(ErrorCode.OVERLOADED, "no upstream was free in time", MIN_RETRY_AFTER)) }
        return events
    }

    override fun cancel(request: AdmissionRequest): Boolean = queues[request.primaryPool]?.remove(request) ?: false

    override fun complete(
        request: AdmissionRequest,
        cost: Double,
    ) {
        queues[request.primaryPool]?.correctCharge(request, cost)
    }

    private fun startRequests(
        queue: FairQueue,
        select: (AdmissionRequest) -> Selection,
        now: Long,
        events: MutableList<AdmissionEvent>,
    ) {
        var includeLong = true
        while (true) {
            val next = queue.next(includeLong) ?: return
            val selection = select(next)
            when {
                selection is Selection.Chosen -> {
                    queue.start(next, now)
                    events.add(AdmissionEvent.Started(next, selection))
                }
                next.workClass == WorkClass.LONG -> includeLong = false
                selection is Selection.NoUpstream -> {
                    queue.remove(next)
                    events.add(AdmissionEvent.Refused(next, refusal(ErrorCode.NO_UPSTREAM, "no upstream is available", MIN_RETRY_AFTER)))
                }
                else -> return
            }
        }
    }

    /** Drops the last request of the account with the most waiting cost relative to its weight, and returns it. */
    private fun dropFromLongestQueue(queue: FairQueue): AdmissionRequest? {
        val dropped = queue.longestQueue()?.lastToStart() ?: return null
        queue.remove(dropped)
        pendingEvents.add(
            AdmissionEvent.Refused(dropped, refusal(ErrorCode.OVERLOADED, "the queue is full", estimatedRetryAfter(queue, dropped))),
        )
        return dropped
    }

    private fun estimatedRetryAfter(
        queue: FairQueue,
        request: AdmissionRequest,
    ): Duration = queue.expectedWaitNanos(request)?.let(::boundedRetryAfter) ?: MIN_RETRY_AFTER

    private fun boundedRetryAfter(nanos: Double): Duration = Duration.ofNanos(nanos.toLong()).coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)

    private fun refusal(
        code: ErrorCode,
        detail: String,
        retryAfter: Duration? = null,
    ): RequestError = RequestError(code, ExecutionStatus.NOT_RUN, detail, retryAfter)

    private companion object {
        const val MIN_WEIGHT = 0.001

        val MIN_RETRY_AFTER: Duration = Duration.ofSeconds(1)
        val MAX_RETRY_AFTER: Duration = Duration.ofSeconds(60)
    }
}
