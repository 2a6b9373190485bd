package io.buckthornlever.core.request

import io.buckthornlever.api.request.WorkClass

/** Waiting requests of one client account and its finish tag for fair queueing. */
internal class AccountQueue(
    var weight: Double,
) {
    private val short = ArrayDeque<AdmissionRequest>()
    private val long = ArrayDeque<AdmissionRequest>()

    /** Virtual time at which the account's next request may start: the cost it was charged so far, divided by its weight. */
    var finishTag: Double = 0.0

    /** Total cost of the waiting requests. */
    var waitingCost: Double = 0.0
        private set

    val size: Int get() = short.size + long.size

    /** Lower bound of the start deadlines of the waiting requests; recomputed by [expire]. */
    var earliestDeadline: Long = Long.MAX_VALUE
        private set

    /** The next request to start: long work comes last and only if [includeLong]. */
    fun head(includeLong: Boolean): AdmissionRequest? = short.firstOrNull() ?: if (includeLong) long.firstOrNull() else null

    /** The request that would start last. */
    fun lastToStart(): AdmissionRequest? = long.lastOrNull() ?: short.lastOrNull()

    /** Total cost of the waiting requests that would start before a new one of class [work]. */
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

    /** Moves the requests whose start deadline is before [nanos] into [into]. */
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
