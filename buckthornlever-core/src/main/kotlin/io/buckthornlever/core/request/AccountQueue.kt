package io.buckthornlever.core.request

import io.buckthornlever.api.request.WorkClass

/** Waiting requests of one client account and its place in the fair order. */
internal class AccountQueue(
    var weight: Double,
) {
    private val short = ArrayDeque<AdmissionRequest>()
    private val long = ArrayDeque<AdmissionRequest>()

    /** Virtual time at which the account's next request may start: what it has used so far, divided by its weight. */
    var finishTag: Double = 0.0

    /** Cost of all waiting requests. */
    var waitingCost: Double = 0.0
        private set

    val size: Int get() = short.size + long.size

    /** Earliest end of the time to start of any waiting request, or an earlier moment. */
    var earliestDeadline: Long = Long.MAX_VALUE
        private set

    /** The request that is next, interactive work first; long work is left out unless [includeLong]. */
    fun head(includeLong: Boolean): AdmissionRequest? = short.firstOrNull() ?: if (includeLong) long.firstOrNull() else null

    /** The request that would wait longest. */
    fun lastToStart(): AdmissionRequest? = long.lastOrNull() ?: short.lastOrNull()

    /** Cost of the requests that start before one of class [work] that arrives now. */
    fun costAhead(work: WorkClass): Double = if (work == WorkClass.LONG) waitingCost else short.sumOf { it.cost }

    fun add(request: AdmissionRequest) {
        queueOf(request).addLast(request)
        waitingCost += request.cost
        earliestDeadline = minOf(earliestDeadline, request.startDeadlineNanos)
    }

    fun remove(request: AdmissionRequest): Boolean {
        val removed = queueOf(request).remove(request)
        if (removed) waitingCost = if (size == 0) 0.0 else waitingCost - request.cost
        return removed
    }

    /** Removes the requests whose time to start is over at [nanos]. */
    fun expire(
        nanos: Long,
        into: MutableList<AdmissionRequest>,
    ) {
        if (earliestDeadline >= nanos) return
        val from = into.size
        expire(short, nanos, into)
        expire(long, nanos, into)
        for (i in from until into.size) waitingCost -= into[i].cost
        if (size == 0) waitingCost = 0.0
        earliestDeadline = minOf(earliest(short), earliest(long))
    }

    private fun earliest(queue: ArrayDeque<AdmissionRequest>): Long = queue.minOfOrNull { it.startDeadlineNanos } ?: Long.MAX_VALUE

    private fun expire(
        queue: ArrayDeque<AdmissionRequest>,
        nanos: Long,
        into: MutableList<AdmissionRequest>,
    ) {
        queue.filterTo(into) { it.startDeadlineNanos < nanos }
        queue.removeAll { it.startDeadlineNanos < nanos }
    }

    private fun queueOf(request: AdmissionRequest): ArrayDeque<AdmissionRequest> = if (request.workClass == WorkClass.LONG) long else short
}
