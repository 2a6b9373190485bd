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
 * Admission of one entry instance: weighted fair queueing among client accounts with bounded queues and deadlines. A request
 * is refused only while it waits, and leaves the queue for good when it starts, so that every refusal is truly "not run". Not
 * thread-safe; all calls come from one thread or are made under one lock.
 */
public class AdmissionController(
    private val clock: Clock,
    private val settings: AdmissionSettings = AdmissionSettings(),
) : AdmissionQueue {
    private val lanes = LinkedHashMap<PoolName, FairLane>()
    private val pending = ArrayList<AdmissionEvent>()
    private var weights: Map<AccountId, Double> = emptyMap()

    override val waiting: Int get() = lanes.values.sumOf { it.waiting }

    override val nextDeadline: Long get() = lanes.values.minOfOrNull { it.nextDeadline } ?: Long.MAX_VALUE

    override fun configure(accounts: AccountTable) {
        weights = accounts.accounts.associate { it.id to maxOf(MIN_WEIGHT, it.weight) }
        lanes.values.forEach { it.reweigh() }
    }

    override fun offer(request: AdmissionRequest): RequestError? {
        val now = clock.monotonicNanos()
        val lane = lanes.getOrPut(request.lane) { FairLane(settings) { weights[it] ?: 1.0 } }
        if (request.startBefore < now) return error(ErrorCode.DEADLINE_EXCEEDED, "no time left to start the request")
        if (lane.waiting(request.account) >= settings.maxWaitingPerAccount) {
            return error(ErrorCode.TOO_MANY_REQUESTS, "too many waiting requests of this account", wait(lane, request))
        }
        val wait = lane.expectedWaitNanos(request)
        if (wait != null && wait > request.startBefore - now) {
            return error(ErrorCode.OVERLOADED, "the wait would exceed the request's time", duration(wait))
        }
        lane.add(request, now)
        if (waiting > settings.maxWaiting && dropFromLongest(lane) == request) {
            pending.removeAll { it.request == request }
            return error(ErrorCode.OVERLOADED, "the queue is full", wait(lane, request))
        }
        return null
    }

    override fun poll(select: (AdmissionRequest) -> Selection): List<AdmissionEvent> {
        val now = clock.monotonicNanos()
        val events = ArrayList<AdmissionEvent>(pending)
        pending.clear()
        val expired = ArrayList<AdmissionRequest>()
        for (lane in lanes.values) {
            lane.expire(now, expired)
            startWaiting(lane, select, now, events)
        }
        expired.mapTo(events) { AdmissionEvent.Refused(it, error(ErrorCode.OVERLOADED, "no upstream was free in time", RETRY_AFTER)) }
        return events
    }

    override fun cancel(request: AdmissionRequest): Boolean = lanes[request.lane]?.remove(request) ?: false

    override fun complete(
        request: AdmissionRequest,
        cost: Double,
    ) {
        lanes[request.lane]?.correct(request, cost)
    }

    private fun startWaiting(
        lane: FairLane,
        select: (AdmissionRequest) -> Selection,
        now: Long,
        events: MutableList<AdmissionEvent>,
    ) {
        var withLong = true
        while (true) {
            val next = lane.next(withLong) ?: return
            val selection = select(next)
            when {
                selection is Selection.Chosen -> {
                    lane.start(next, now)
                    events.add(AdmissionEvent.Started(next, selection))
                }
                next.workClass == WorkClass.LONG -> withLong = false
                selection is Selection.NoUpstream -> {
                    lane.remove(next)
                    events.add(AdmissionEvent.Refused(next, error(ErrorCode.NO_UPSTREAM, "no upstream is available", RETRY_AFTER)))
                }
                else -> return
            }
        }
    }

    /** Makes room at the expense of the account that has most work waiting; returns the request that was dropped. */
    private fun dropFromLongest(lane: FairLane): AdmissionRequest? {
        val victim = lane.longest()?.last() ?: return null
        lane.remove(victim)
        pending.add(AdmissionEvent.Refused(victim, error(ErrorCode.OVERLOADED, "the queue is full", wait(lane, victim))))
        return victim
    }

    private fun wait(
        lane: FairLane,
        request: AdmissionRequest,
    ): Duration = lane.expectedWaitNanos(request)?.let(::duration) ?: RETRY_AFTER

    private fun duration(nanos: Double): Duration = Duration.ofNanos(nanos.toLong()).coerceIn(RETRY_AFTER, MAX_RETRY_AFTER)

    private fun error(
        code: ErrorCode,
        detail: String,
        retryAfter: Duration? = null,
    ): RequestError = RequestError(code, ExecutionStatus.NOT_RUN, detail, retryAfter)

    private companion object {
        const val MIN_WEIGHT = 0.001

        val RETRY_AFTER: Duration = Duration.ofSeconds(1)
        val MAX_RETRY_AFTER: Duration = Duration.ofSeconds(60)
    }
}
