package io.buckthornlever.gateway.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.serving.RequestKind
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.ServedRoute
import io.buckthornlever.core.serving.AttemptEnd
import io.buckthornlever.core.serving.EventSplitter
import io.buckthornlever.core.serving.ExecutionProof
import io.buckthornlever.core.serving.NextStep
import io.buckthornlever.core.serving.Placement
import io.buckthornlever.core.serving.QueueStep
import io.buckthornlever.core.serving.QuotaDecision
import io.buckthornlever.core.serving.RequestPriority
import io.buckthornlever.core.serving.RetryPolicy
import io.buckthornlever.core.serving.RetryReservation
import io.buckthornlever.core.serving.UpstreamEntry
import io.buckthornlever.gateway.connection.CallerExchange
import io.buckthornlever.gateway.connection.CallerReply
import io.buckthornlever.gateway.connection.CallerRequest
import io.buckthornlever.gateway.process.GatewayEvent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * One admitted request of a caller, from its placement at an upstream to its final response.
 *
 * @param service service that was chosen by the route's weights
 * @param deadlineNanos monotonic time at which the final response is due
 */
internal class ProxiedRequest(
    private val context: ServingContext,
    private val request: CallerRequest,
    private val head: CallerRequestHead,
    private val route: ServedRoute,
    private val account: ServedAccount?,
    private val service: String,
    private val reply: CallerReply,
    private val deadlineNanos: Long,
    private val fingerprint: Long,
) : CallerExchange,
    AttemptListener {
    private val partEvidence = PromptPartEvidence(context.poison.parts, head.sharedPartIds, context.clock)
    private val priority = RequestPriority.of(route, account)
    private val triedUpstreams = HashSet<UpstreamId>()
    private val placements = RequestPlacement(context, head, service, triedUpstreams, request.arrivedNanos + route.targetLatency.toNanos())
    private val gate =
        OverloadGate(
            context,
            OverloadGate.describe(service, route, priority, account, head, request.arrivedNanos, deadlineNanos),
            head.lastEventId != null,
        ) { schedule(it) { tryPlace() } }
    private val splitter = EventSplitter()
    private val timers = ArrayList<ScheduledFuture<*>>()
    private var charge: QuotaDecision = QuotaDecision.Unlimited
    private var attempt: Attempt? = null
    private var retry: RetryReservation? = null
    private var queueDeadlineNanos = 0L
    private var longestQueueTime = Duration.ZERO
    private var isWaiting = false
    private var drawsOrderedVersion = false
    private var proof = ExecutionProof.NOT_RUN
    private var runs = 0
    private var sends = 0
    private var isUsageCounted = false
    private var isOutputLate: Boolean? = null
    private var isHeadSent = false
    private var isLarge = false
    private var streamHead: HttpResponse? = null
    private var lastEventId: Long? = head.lastEventId
    private var isFinished = false

    /** Charges the request to the quota of its client account, then places it at an upstream. */
    fun start() {
        schedule(deadlineNanos - now()) { onDeadline() }
        if (account == null) return startPlacement()
        val maxWait = route.targetLatency.dividedBy(RequestLimits.QUOTA_WAIT_DIVISOR)
        context.quotas.charge(account, QuotaCost.of(account, head), route.priority, maxWait, ::onCharged)
    }

    private fun onCharged(outcome: QuotaDecision) {
        if (isFinished) return context.quotas.refund(outcome)
        charge = outcome
        when (outcome) {
            is QuotaDecision.NoRoom -> {
                finish("refused", "quota")
                reply.respond(HttpResponseStatus.TOO_MANY_REQUESTS, GatewayResponseHeaders.retryAfter(outcome.retryAfter), EMPTY_BODY)
            }
            is QuotaDecision.Unknown -> refuse("no quota holder answered", outcome.retryAfter)
            QuotaDecision.Unlimited, is QuotaDecision.ChargedLocally, is QuotaDecision.ChargedToCredit -> startPlacement()
        }
    }

    private fun startPlacement() {
        context.retryBudget.onRequest(service, now())
        context.counters.demand.onRequest(service, head.promptTokens, now())
        drawsOrderedVersion = context.versionOrders.draw(service, RouteName(route.name))
        placeOrQueue(Duration.ofMillis((route.targetLatency.toMillis() * RequestLimits.QUEUE_TIME_SHARE).toLong()))
    }

    /** Tries to place the request at an upstream, and refuses it once it has waited for too long. */
    fun tryPlace(): QueueStep {
        if (isFinished || !isWaiting) return QueueStep.DONE
        val now = now()
        if (gate.isHeld(now)) return QueueStep.BLOCKED
        refusal(now)?.let { return giveUpWaiting(it) }
        return if (gate.isHeld(now)) QueueStep.BLOCKED else place(now)
    }

    private fun place(now: Long): QueueStep {
        if (gate.hasJustOpened()) {
            startQueueTime(now)
            schedule(queueDeadlineNanos - now) { tryPlace() }
        }
        if (placements.awaitsCheck(mayCheck(now), drawsOrderedVersion, now)) return QueueStep.BLOCKED
        val placement = placements.choose(drawsOrderedVersion, now)
        if (placement is Placement.Chosen) {
            untimelyRun(placement.upstream, now)?.let { return giveUpWaiting(it) }
            leaveQueue()
            send(Attempt(context, this, placement.upstream, head, placements.chosenQuery, route, reply))
            return QueueStep.DONE
        }
        if (placement is Placement.Paused && (placement.untriedReturnNanos ?: Long.MAX_VALUE) >= queueDeadlineNanos) {
            val pause = Duration.ofNanos(placement.returnNanos - now).plusMillis(1)
            return giveUpWaiting(RequestRefusal("all upstreams ask to be left alone", pause))
        }
        if (now < queueDeadlineNanos) return if (triedUpstreams.isEmpty()) QueueStep.SATURATED else QueueStep.BLOCKED
        context.queues.recordShortage(head.requestId, placements.query(), now)
        val reason = if (placement is Placement.Busy) "no upstream is free" else "no upstream is available"
        return giveUpWaiting(RequestRefusal(reason, RequestLimits.RETRY_AFTER))
    }

    /** Returns why the request must not be sent to any upstream now, or null. */
    private fun refusal(now: Long): RequestRefusal? {
        if (account != null && !context.tableCache.allowsKeyedRequests(now)) {
            return RequestRefusal("the table is not confirmed", RequestLimits.RETRY_AFTER_UNCONFIRMED)
        }
        return poisonReason()?.let { RequestRefusal(it, RequestLimits.RETRY_AFTER_POISON) } ?: gate.decide(now)
    }

    /** Returns a refusal if the request has not run anywhere and would begin or end too late at [upstream]. */
    private fun untimelyRun(
        upstream: UpstreamEntry,
        now: Long,
    ): RequestRefusal? {
        if (proof != ExecutionProof.NOT_RUN || isHeadSent) return null
        return gate.checkRun(
            upstream,
            placements.chosenQuery,
            ProgressTimeouts.firstOutput(route, Duration.ofNanos(deadlineNanos - now)),
            now,
        )
    }

    private fun giveUpWaiting(refusal: RequestRefusal): QueueStep {
        leaveQueue()
        giveUp(refusal.reason, refusal.retryAfter)
        return QueueStep.DONE
    }

    /** False for a stream that a caller resumes, or that is sent again late: a check takes time that it may not have. */
    private fun mayCheck(now: Long): Boolean =
        route.kind == RequestKind.STREAM && lastEventId == null && deadlineNanos - now > route.targetLatency.toNanos() / 2

    override fun onCallerDisconnected() {
        if (isFinished) return
        context.log.write(GatewayEvent.CALLER_LEFT, "request" to head.requestId, "route" to route.name, "proof" to proof)
        if (proof == ExecutionProof.NOT_RUN && attempt?.wasSent != true) context.quotas.refund(charge)
        finish("caller-left")
        attempt?.cancel()
    }

    override fun onWritabilityChanged(writable: Boolean) {
        attempt?.setReading(writable)
    }

    override fun onExecutionStarted(attempt: Attempt) {
        proof = ExecutionProof.HAS_RUN
        if (isUsageCounted || account == null) return
        isUsageCounted = true
        val startMillis = if (route.kind == RequestKind.STREAM) context.clock.now().toEpochMilli() else attempt.sentMillis
        context.counters.usage.onStarted(account.id, startMillis)
    }

    override fun onStreamHead(
        attempt: Attempt,
        response: HttpResponse,
    ) {
        if (!isHeadSent) streamHead = response
    }

    override fun onStreamData(
        attempt: Attempt,
        bytes: ByteArray,
    ) {
        for (event in splitter.add(bytes)) {
            val id = event.id
            val last = lastEventId
            if (id != null && last != null && id <= last) continue
            if (id != null) lastEventId = id
            recordOutput()
            sendHead()
            reply.write(event.bytes)
            attempt.recordEvent()
        }
        if (attempt.hasProvenOutput) partEvidence.onProven()
        if (splitter.pendingBytes > MAX_EVENT_BYTES) attempt.failMalformed("event exceeds $MAX_EVENT_BYTES bytes")
    }

    override fun onLargeResponseStarted(
        attempt: Attempt,
        response: HttpResponse,
    ) {
        isHeadSent = true
        isLarge = true
        recordOutput()
        partEvidence.onProven()
        reply.start(response.status(), context.protocol.callerHeaders(response))
    }

    override fun onLargeResponseData(
        attempt: Attempt,
        bytes: ByteArray,
    ): Unit = reply.write(bytes)

    override fun onLargeResponseCompleted(attempt: Attempt) {
        finish("served")
        reply.end()
        context.queues.retry(service)
    }

    override fun onStreamCompleted(attempt: Attempt) {
        attempt.incompleteEnd(splitter.isInsideEvent, lastEventId != null)?.let { return onFailed(attempt, it, null) }
        partEvidence.onProven()
        sendHead()
        gate.onCompleted()
        finish("served")
        reply.end()
        context.queues.retry(service)
    }

    override fun onResponse(
        attempt: Attempt,
        response: BufferedResponse,
    ) {
        // The caller is in the middle of a stream, in which no other response can follow.
        if (isHeadSent) return onFailed(attempt, AttemptEnd.Failed(response.status.code()), null)
        recordOutput()
        partEvidence.onProven()
        finish("served")
        reply.respond(response.status, response.headers, response.body)
        context.queues.retry(service)
    }

    override fun onFailed(
        attempt: Attempt,
        end: AttemptEnd,
        failure: BufferedResponse?,
    ) {
        attempt.excludeRequest()
        if (isFinished) return
        this.attempt = null
        splitter.reset()
        val before = proof
        proof = proof.strongerOf(end.proof)
        if (end.proof != ExecutionProof.NOT_RUN) runs++
        drawsOrderedVersion = false
        if (end is AttemptEnd.Broken) context.poison.requests.onBrokenRun(fingerprint, now())
        partEvidence.onAttemptEnded(attempt, end)
        // Without events, another attempt cannot resume a partly relayed response.
        val retries = context.retryBudget.usage(service, now())
        val next = if (isLarge) NextStep.ABORT else RetryPolicy.next(route, end, before, runs, sends, isHeadSent) { reserveRetry() }
        context.log.write(
            GatewayEvent.ATTEMPT_ENDED,
            "request" to head.requestId,
            "upstream" to attempt.entry.upstream.id,
            "status" to attempt.status,
            "connection" to attempt.localPort,
            "end" to end,
            "proof" to proof,
            "output" to attempt.hasProvenOutput,
            "sharedParts" to partEvidence.loggedParts,
            "next" to next,
            "retriesUsed" to retries.used.toInt(),
            "retriesAllowed" to retries.allowed.toInt(),
            "instances" to context.retryBudget.instances,
            *attempt.placementFields,
        )
        perform(next, failure)
        context.queues.retry(service)
    }

    /** Sends the head with the first event, so that a request whose attempt ends before that can still get another response. */
    private fun sendHead() {
        val response = streamHead ?: return
        streamHead = null
        isHeadSent = true
        reply.start(response.status(), context.protocol.callerHeaders(response))
    }

    private fun perform(
        next: NextStep,
        failure: BufferedResponse?,
    ) {
        when (next) {
            NextStep.TRY_ANOTHER -> placeOrQueue(Duration.ofNanos(maxOf(0, deadlineNanos - now()) / 2))
            NextStep.REFUSE_NOT_RUN -> refuse("no upstream ran the request", RequestLimits.RETRY_AFTER)
            NextStep.FAIL_UNKNOWN -> fail(HttpResponseStatus.BAD_GATEWAY)
            NextStep.RELAY_FAILURE -> if (failure == null ||
                failure.status.code() in NOT_RUN_STATUSES
            ) {
                fail(HttpResponseStatus.BAD_GATEWAY)
            } else {
                relayFailure(failure)
            }
            NextStep.ABORT -> abort()
        }
    }

    /** Reserves one retry of the budget and returns true, or returns false if the request must not be retried. */
    private fun reserveRetry(): Boolean {
        if (deadlineNanos - now() <= RequestLimits.MIN_ATTEMPT_TIME.toNanos() || poisonReason() != null) return false
        retry = context.retryBudget.reserve(service, now())
        return retry != null
    }

    private fun poisonReason(): String? = context.poison.refusalReason(fingerprint, head.sharedPartIds)

    private fun recordOutput() {
        if (isOutputLate != null) return
        isOutputLate = now() - request.arrivedNanos > route.targetLatency.toNanos()
    }

    private fun placeOrQueue(maxWait: Duration) {
        longestQueueTime = maxWait
        startQueueTime(now())
        isWaiting = true
        context.queues.add(this, service, context.overload.queuePriority(priority), gate.isBeyondShare(now()), deadlineNanos)
        // The queue alone notices the end of the wait only when capacity is offered to this request.
        if (isWaiting) schedule(queueDeadlineNanos - now()) { tryPlace() }
    }

    private fun startQueueTime(now: Long) {
        queueDeadlineNanos = minOf(now + longestQueueTime.toNanos(), deadlineNanos)
    }

    private fun leaveQueue() {
        isWaiting = false
        context.queues.remove(this, service)
    }

    private fun send(attempt: Attempt) {
        sends++
        retry?.onSent(now())
        this.attempt = attempt
        triedUpstreams.add(attempt.entry.upstream.id)
        placements.onSent()
        val maxIdle = if (route.repeatable) RequestLimits.MAX_IDLE else RequestLimits.MAX_IDLE_NON_REPEATABLE
        attempt.start(maxIdle) {
            val resumeAfter = if (isHeadSent) lastEventId else head.lastEventId
            val timeLeft = Duration.ofNanos(maxOf(0, deadlineNanos - now()))
            UpstreamRequests.create(
                context.protocol,
                request,
                ForwardTarget(attempt.entry.upstream.id, account?.id, timeLeft, resumeAfter, context.overload.urgency(service, priority)),
            )
        }
        watchProgress(attempt)
    }

    /** Ends a stalled attempt of a repeatable request while another upstream can still respond in time. */
    private fun watchProgress(watched: Attempt) {
        if (!route.repeatable || runs + 1 >= route.maxAttempts) return
        val limit = ProgressTimeouts.stall(route, Duration.ofNanos(deadlineNanos - now())).toNanos()
        val left = watched.progressNanos + limit - now()
        schedule(maxOf(left, MIN_CHECK_NANOS)) {
            if (attempt !== watched) return@schedule
            if (now() - watched.progressNanos >= limit) watched.failStalled() else watchProgress(watched)
        }
    }

    override fun onProcessEnding(): Unit = endNow("the process ends", HttpResponseStatus.BAD_GATEWAY)

    private fun onDeadline(): Unit = endNow("deadline passed in the queue", HttpResponseStatus.GATEWAY_TIMEOUT)

    /** Gives the final response: a refusal for [refusal] if no upstream can have run the request, or else a failure with [status]. */
    private fun endNow(
        refusal: String,
        status: HttpResponseStatus,
    ) {
        if (isFinished) return
        val running = attempt
        when {
            isHeadSent -> abort()
            proof == ExecutionProof.NOT_RUN && running?.wasSent != true -> refuse(refusal, RequestLimits.RETRY_AFTER)
            else -> fail(status)
        }
        running?.cancel()
    }

    private fun giveUp(
        reason: String,
        retryAfter: Duration?,
    ) {
        when {
            isHeadSent -> abort()
            proof == ExecutionProof.NOT_RUN -> refuse(reason, retryAfter)
            else -> fail(HttpResponseStatus.BAD_GATEWAY)
        }
    }

    private fun refuse(
        reason: String,
        retryAfter: Duration?,
    ) {
        context.quotas.refund(charge)
        finish("refused", reason)
        reply.respond(
            HttpResponseStatus.SERVICE_UNAVAILABLE,
            retryAfter?.let(GatewayResponseHeaders::retryAfter) ?: GatewayResponseHeaders.empty(),
            EMPTY_BODY,
        )
    }

    private fun fail(status: HttpResponseStatus) {
        finish("failed", status.toString())
        reply.respond(status, GatewayResponseHeaders.empty(), EMPTY_BODY)
    }

    private fun relayFailure(failure: BufferedResponse) {
        finish("upstream-failure", failure.status.toString())
        reply.respond(failure.status, failure.headers, failure.body)
    }

    private fun abort() {
        finish("broken-off")
        reply.abort()
    }

    private fun finish(
        outcome: String,
        reason: String? = null,
    ) {
        isFinished = true
        retry?.release()
        timers.forEach { it.cancel(false) }
        if (isWaiting) leaveQueue()
        val millis = (now() - request.arrivedNanos) / NANOS_PER_MILLI
        context.metrics.recordFinished(outcome, millis)
        context.log.write(
            GatewayEvent.REQUEST_FINISHED,
            "request" to head.requestId,
            "route" to route.name,
            "account" to account?.id,
            "units" to account?.let { QuotaCost.of(it, head).toLong() },
            "quota" to account?.let { context.quotas.limitOf(it).toLong() },
            "upstream" to attempt?.entry?.upstream?.id,
            "status" to attempt?.status,
            "connection" to attempt?.localPort,
            "sends" to sends,
            "proof" to proof,
            "millis" to millis,
            "table" to context.tableCache.table?.version,
            "outcome" to outcome,
            "reason" to reason,
            *gate.logFields,
            *(attempt?.takeIf { isOutputLate == true }?.placementFields ?: NO_FIELDS),
        )
    }

    private fun schedule(
        nanos: Long,
        action: () -> Unit,
    ) {
        timers.removeIf { it.isDone }
        timers.add(context.loop.schedule({ action() }, maxOf(0, nanos), TimeUnit.NANOSECONDS) as ScheduledFuture<*>)
    }

    private fun now(): Long = context.clock.monotonicNanos()

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Largest event that is buffered until it is complete; events of token streams have some hundred bytes. */
        const val MAX_EVENT_BYTES = 64 * 1_024

        /** Shortest interval between two progress checks of an attempt. */
        const val MIN_CHECK_NANOS = 20_000_000L
        val EMPTY_BODY = ByteArray(0)
        val NO_FIELDS = emptyArray<Pair<String, Any?>>()

        /** Statuses that tell a caller that its request did not run. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
