package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.request.WorkClass

/**
 * Waiting requests that compete for the same upstreams, in start-time fair order over client accounts: the account that has
 * used least, relative to its weight, is next. An account that was idle starts at the present virtual time and saves nothing up.
 */
internal class FairLane(
    private val settings: AdmissionSettings,
    private val weightOf: (AccountId) -> Double,
) {
    private val queues = LinkedHashMap<AccountId, AccountQueue>()
    private var virtualTime = 0.0
    private val drain = DrainRate()

    var waiting: Int = 0
        private set

    val nextDeadline: Long get() = queues.values.minOfOrNull { it.earliestDeadline } ?: Long.MAX_VALUE

    fun waiting(account: AccountId): Int = queues[account]?.size ?: 0

    fun reweigh() {
        queues.forEach { (account, queue) -> queue.weight = weightOf(account) }
    }

    fun add(
        request: AdmissionRequest,
        nanos: Long,
    ) {
        if (waiting == 0) drain.resume(nanos)
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

    /** The request that is next; long work is left out unless [withLong]. */
    fun next(withLong: Boolean): AdmissionRequest? {
        var best: AdmissionRequest? = null
        var bestTag = Double.MAX_VALUE
        for (queue in queues.values) {
            val head = queue.head(withLong) ?: continue
            val lead = if (head.workClass == WorkClass.LONG) 0.0 else settings.interactiveLead / queue.weight
            val tag = maxOf(virtualTime, queue.finish) - lead
            if (tag < bestTag) {
                bestTag = tag
                best = head
            }
        }
        return best
    }

    /** Takes [request] out because it starts, and charges its cost to its account. */
    fun start(
        request: AdmissionRequest,
        nanos: Long,
    ) {
        val queue = queues.getValue(request.account)
        remove(request)
        val start = maxOf(virtualTime, queue.finish)
        virtualTime = leastStart(start)
        queue.finish = start + request.cost / queue.weight
        drain.started(request.cost, nanos)
    }

    /** Corrects the charge of a request that has ended. */
    fun correct(
        request: AdmissionRequest,
        cost: Double,
    ) {
        val queue = queues[request.account] ?: return
        queue.finish += (cost - request.cost) / queue.weight
    }

    /** Account whose waiting work is largest relative to its weight. */
    fun longest(): AccountQueue? = queues.values.filter { it.size > 0 }.maxByOrNull { it.waitingCost / it.weight }

    /** Time that [request] would wait, by the present rate of starts; null when the rate is not known. */
    fun expectedWaitNanos(request: AdmissionRequest): Double? {
        val rate = drain.costPerNano ?: return null
        val own = queues[request.account]
        val weight = own?.weight ?: weightOf(request.account)
        val others = queues.values.filter { it !== own && it.size > 0 }.sumOf { it.weight }
        val ahead = own?.costAhead(request.workClass) ?: 0.0
        return ahead / (rate * weight / (weight + others))
    }

    /** Virtual time never passes the start tag of a waiting account, which a lead of interactive work could otherwise cause. */
    private fun leastStart(started: Double): Double {
        var least = started
        for (queue in queues.values) if (queue.size > 0) least = minOf(least, maxOf(virtualTime, queue.finish))
        return maxOf(virtualTime, least)
    }
}
