package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.request.WorkClass

/**
 * Start-time fair queue over client accounts, for requests that compete for the same upstreams. The account with the least
 * usage relative to its weight is next. An account that was idle resumes at the current virtual time and accumulates no credit.
 */
internal class FairQueue(
    private val settings: AdmissionSettings,
    private val weightOf: (AccountId) -> Double,
) {
    private val queues = LinkedHashMap<AccountId, AccountQueue>()
    private var virtualTime = 0.0
    private val drainRate = DrainRate()

    var waiting: Int = 0
        private set

    val nextDeadline: Long get() = queues.values.minOfOrNull { it.earliestDeadline } ?: Long.MAX_VALUE

    fun waiting(account: AccountId): Int = queues[account]?.size ?: 0

    fun refreshWeights() {
        queues.forEach { (account, queue) -> queue.weight = weightOf(account) }
    }

    fun add(
        request: AdmissionRequest,
        nanos: Long,
    ) {
        if (waiting == 0) drainRate.startWindow(nanos)
        queues.getOrPut(request.account) { AccountQueue(weightOf(request.account)) }.add(request)
        waiting++
    }

    fun remove(request: AdmissionRequest): Boolean {
        val removed = queues[request.account]?.remove(request) ?: false
        if (removed) waiting--
        return removed
    }

    fun expire(
        nanos: Long,
        into: MutableList<AdmissionRequest>,
    ) {
        val before = into.size
        for (queue in queues.values) queue.expire(nanos, into)
        waiting -= into.size - before
    }

    /** The next request to start; long work is skipped unless [includeLong]. */
    fun next(includeLong: Boolean): AdmissionRequest? {
        var best: AdmissionRequest? = null
        var lowestTag = Double.MAX_VALUE
        for (queue in queues.values) {
            val head = queue.head(includeLong) ?: continue
            val lead = if (head.workClass == WorkClass.LONG) 0.0 else settings.interactiveLead / queue.weight
            val tag = maxOf(virtualTime, queue.finishTag) - lead
            if (tag < lowestTag) {
                lowestTag = tag
                best = head
            }
        }
        return best
    }

    /** Removes [request] because it starts, and charges its expected cost to its account. */
    fun start(
        request: AdmissionRequest,
        nanos: Long,
    ) {
        val queue = queues.getValue(request.account)
        remove(request)
        val start = maxOf(virtualTime, queue.finishTag)
        virtualTime = nextVirtualTime(start)
        queue.finishTag = start + request.cost / queue.weight
        drainRate.recordStart(request.cost, nanos)
    }

    /** Replaces the expected cost charged for a request that has ended by its actual [cost]. */
    fun correctCharge(
        request: AdmissionRequest,
        cost: Double,
    ) {
        val queue = queues[request.account] ?: return
        queue.finishTag += (cost - request.cost) / queue.weight
    }

    /** Queue of the account with the most waiting cost relative to its weight. */
    fun longestQueue(): AccountQueue? = queues.values.filter { it.size > 0 }.maxByOrNull { it.waitingCost / it.weight }

    /** Estimated wait of [request] at the current drain rate; null while the rate is unknown. */
    fun expectedWaitNanos(request: AdmissionRequest): Double? {
        val rate = drainRate.costPerNano ?: return null
        val ownQueue = queues[request.account]
        val weight = ownQueue?.weight ?: weightOf(request.account)
        val otherWeights = queues.values.filter { it !== ownQueue && it.size > 0 }.sumOf { it.weight }
        val costAhead = ownQueue?.costAhead(request.workClass) ?: 0.0
        return costAhead / (rate * weight / (weight + otherWeights))
    }

    /**
     * The virtual time after a start with tag [started]. It must not pass the start tag of a waiting account, which could
     * happen otherwise when interactive work runs ahead.
     */
    private fun nextVirtualTime(started: Double): Double {
        var least = started
        for (queue in queues.values) if (queue.size > 0) least = minOf(least, maxOf(virtualTime, queue.finishTag))
        return maxOf(virtualTime, least)
    }
}
