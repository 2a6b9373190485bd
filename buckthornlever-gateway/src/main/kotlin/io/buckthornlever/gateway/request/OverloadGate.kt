package io.buckthornlever.gateway.request

import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.ServedRoute
import io.buckthornlever.core.serving.AdmissionStep
import io.buckthornlever.core.serving.ExpectedTimes
import io.buckthornlever.core.serving.OverloadRequest
import io.buckthornlever.core.serving.PlacementQuery
import io.buckthornlever.core.serving.RequestPriority
import io.buckthornlever.core.serving.ReturnTime
import io.buckthornlever.core.serving.ServiceOverload
import io.buckthornlever.core.serving.StableHash
import io.buckthornlever.core.serving.TimelyRun
import io.buckthornlever.core.serving.UpstreamEntry
import java.time.Duration
import java.util.Locale

/**
 * Admission of one request under overload, until it is first sent.
 *
 * @param isExempt true for a stream that its caller resumes; the work on it is not thrown away
 * @param recheckAfter calls for another decision after a time in nanoseconds
 */
internal class OverloadGate(
    private val context: ServingContext,
    private val request: OverloadRequest,
    private val isExempt: Boolean,
    private val recheckAfter: (nanos: Long) -> Unit,
) {
    private var isOpen = isExempt
    private var isCounted = false
    private var isOpening = false
    private var heldSinceNanos: Long? = null
    private var heldUntilNanos = Long.MIN_VALUE
    private var recheckNanos = Long.MIN_VALUE

    /** What explains the delay or refusal of the request, for its log line; empty if there was none. */
    var logFields: Array<Pair<String, Any?>> = emptyArray()
        private set

    /** True while the request waits here. */
    fun isHeld(nanos: Long): Boolean = nanos < heldUntilNanos

    /** True if the account of the request uses more than its share of the service. */
    fun isBeyondShare(nanos: Long): Boolean = context.overload.isBeyondShare(request, nanos)

    /** True once after the request has been released. */
    fun hasJustOpened(): Boolean = isOpening.also { isOpening = false }

    /** Decides whether the request may be sent, waits ([isHeld]) or is refused. */
    fun decide(nanos: Long): RequestRefusal? {
        if (isOpen) return null
        if (!isCounted) context.overload.onRequest(request, nanos)
        isCounted = true
        when (val step = context.overload.decide(request, nanos)) {
            AdmissionStep.Admit -> open(nanos)
            is AdmissionStep.Hold -> hold(step, nanos)
            is AdmissionStep.Refuse -> {
                explain(nanos)
                return RequestRefusal(step.obstacle.reason, step.retryAfter)
            }
        }
        return null
    }

    /** Records that the response is complete. */
    fun onCompleted() {
        context.overload.overloadOf(request.service)?.onCompleted()
    }

    private fun open(nanos: Long) {
        isOpen = true
        isOpening = heldSinceNanos != null
        if (isOpening) explain(nanos)
    }

    private fun hold(
        step: AdmissionStep.Hold,
        nanos: Long,
    ) {
        heldUntilNanos = minOf(step.recheckNanos, nanos + RECHECK_NANOS)
        if (heldSinceNanos == null) {
            heldSinceNanos = nanos
            context.metrics.recordHeld(request.service)
            explain(nanos)
        }
        // The queue offers capacity every few milliseconds, but not while no upstream has any.
        if (recheckNanos > nanos) return
        recheckNanos = step.recheckNanos
        recheckAfter(recheckNanos - nanos)
    }

    /**
     * Returns a refusal if the service is overloaded and a run at [entry] cannot begin before [timeToFirst] is over or end before the
     * deadline, or else records that the run begins.
     */
    fun checkRun(
        entry: UpstreamEntry,
        query: PlacementQuery,
        timeToFirst: Duration,
        nanos: Long,
    ): RequestRefusal? {
        val overload = context.overload.overloadOf(request.service) ?: return null
        val basis = context.balancer.basis(entry, query, nanos)
        val times = basis.expected
        val load = context.balancer.serviceLoad(request.service, nanos)
        val timeLeft = Duration.ofNanos(request.deadlineNanos - nanos)
        val obstacle =
            TimelyRun.obstacle(times, basis.figureAge, overload.knowsOutputTime, timeToFirst, timeLeft, request.trialPosition)
        if (isExempt || !overload.isEngaged || obstacle == null) {
            overload.onStarted(request.route, times.firstOutput.minus(load.meanWait), request.tokens)
            return null
        }
        context.metrics.recordOverloadRefusal(request.service, obstacle)
        explain(nanos)
        logFields += arrayOf("firstMillis" to times.firstOutput.toMillis(), "lastMillis" to times.lastOutput.toMillis())
        return RequestRefusal(obstacle.reason, returnTime(overload, times, timeLeft))
    }

    /** Without a prospect of a run in less time than now there is no use in a return. */
    private fun returnTime(
        overload: ServiceOverload,
        times: ExpectedTimes,
        timeLeft: Duration,
    ): Duration? {
        val wait = overload.load.meanWait
        val needed = maxOf(Duration.ZERO, times.lastOutput.minus(wait))
        return ReturnTime.of(timeLeft, Duration.ZERO, needed, wait, request.unitPosition)
    }

    private fun explain(nanos: Long) {
        val overload = context.overload.overloadOf(request.service) ?: return
        val shares = context.overload.sharesOf(request, overload, nanos)
        logFields =
            arrayOf(
                "priority" to request.priority.effective,
                "heldMillis" to heldSinceNanos?.let { (nanos - it) / NANOS_PER_MILLI },
                "roomShare" to format(shares.now),
                "roomShareAfterWait" to format(shares.afterWait),
                "waitMillis" to overload.load.meanWait.toMillis(),
                "loadAgeMillis" to overload.load.age?.toMillis(),
            )
    }

    private fun format(share: Double): String = "%.2f".format(Locale.ROOT, share)

    companion object {
        private const val NANOS_PER_MILLI = 1_000_000L

        /** Load figures change no faster, and the queue offers capacity with every request that ends. */
        private const val RECHECK_NANOS = 10_000_000L

        /** What the decision needs to know of a request with [head]. */
        fun describe(
            service: String,
            route: ServedRoute,
            priority: RequestPriority,
            account: ServedAccount?,
            head: CallerRequestHead,
            arrivedNanos: Long,
            deadlineNanos: Long,
        ): OverloadRequest {
            // Shared parts are in the memory of an engine in most cases.
            val ownTokens = maxOf(0, head.promptTokens - head.sharedParts.sumOf { it.tokens })
            // Callers choose the ids of their requests, or send none.
            val tieBreak = StableHash.combine(StableHash.of(head.requestId.orEmpty()), arrivedNanos)
            val tokens = ownTokens + head.expectedOutputTokens
            return OverloadRequest(service, route, priority, account?.id, tieBreak, tokens, arrivedNanos, deadlineNanos)
        }
    }
}
