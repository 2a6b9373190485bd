package io.buckthornlever.bench.request

import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.core.request.AdmissionEvent
import io.buckthornlever.core.request.AdmissionQueue
import io.buckthornlever.core.request.AdmissionRequest
import io.buckthornlever.core.request.Selection

/** Baseline: one queue in order of arrival with a fixed length, without fairness and without regard to deadlines. */
internal class NaiveAdmission(
    private val maxWaiting: Int = 1_000,
) : AdmissionQueue {
    private val queue = ArrayDeque<AdmissionRequest>()

    override val waiting: Int get() = queue.size

    override val nextDeadline: Long get() = Long.MAX_VALUE

    override fun configure(accounts: AccountTable): Unit = Unit

    override fun offer(request: AdmissionRequest): RequestError? {
        if (queue.size >= maxWaiting) return RequestError(ErrorCode.OVERLOADED, ExecutionStatus.NOT_RUN, "the queue is full")
        queue.addLast(request)
        return null
    }

    override fun poll(select: (AdmissionRequest) -> Selection): List<AdmissionEvent> {
        val events = ArrayList<AdmissionEvent>()
        while (queue.isNotEmpty()) {
            val selection = select(queue.first())
            if (selection !is Selection.Chosen) break
            events.add(AdmissionEvent.Started(queue.removeFirst(), selection))
        }
        return events
    }

    override fun cancel(request: AdmissionRequest): Boolean = queue.remove(request)

    override fun complete(
        request: AdmissionRequest,
        cost: Double,
    ): Unit = Unit
}
