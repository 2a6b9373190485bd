package io.buckthornlever.gateway.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.RequestKind
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.ServedRoute
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.serving.AttemptEnd
import io.buckthornlever.core.serving.EventSplitter
import io.buckthornlever.core.serving.ExecutionProof
import io.buckthornlever.core.serving.NextStep
import io.buckthornlever.core.serving.Placement
import io.buckthornlever.core.serving.PlacementQuery
import io.buckthornlever.core.serving.QueueStep
import io.buckthornlever.core.serving.RetryPolicy
import io.buckthornlever.core.serving.RetryReservation
import io.buckthornlever.core.serving.StableHash
import io.buckthornlever.core.version.VersionChoice
import io.buckthornlever.gateway.connection.CallerExchange
import io.buckthornlever.gateway.connection.CallerReply
import io.buckthornlever.gateway.connection.CallerRequest
import io.buckthornlever.gateway.process.GatewayEvent
import io.buckthornlever.gateway.process.QuotaOutcome
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
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
    private val sharedPartIds = head.sharedPartIds
    private val triedUpstreams = HashSet<UpstreamId>()
    private val splitter = EventSplitter()
    private val timers = ArrayList<ScheduledFuture<*>>()
    private var charge: QuotaOutcome = QuotaOutcome.Unlimited
    private var attempt: Attempt? = null
    private var retry: RetryReservation? = null
    private var queueDeadlineNanos = 0L
    private var isWaiting = false
    private var drawsOrderedVersion = false
    private var proof = ExecutionProof.NOT_RUN
    private var runs = 0
    private var sends = 0
    private var isUsageCounted = false
    private var isOutputRecorded = false
    private var isHeadSent = false
    private var isLarge = false
    private var streamHead: HttpResponse? = null
    private var lastEventId: Long? = head.lastEventId
    private var isFinished = false

    /** Charges the request to the quota of its client account, then places it at an upstream. */
    fun start() {
        schedule(deadlineNanos - now()) { onDeadline() }
        if (account == null) startPlacement() else context.quotas.charge(account, quotaCostOf(account, head), ::onCharged)
    }

    private fun onCharged(outcome: QuotaOutcome) {
        if (isFinished) return context.quotas.refund(outcome)
        charge = outcome
        when (outcome) {
            QuotaOutcome.Exhausted -> {
                finish("refused", "quota")
                reply.respond(
                    HttpResponseStatus.TOO_MANY_REQUESTS,
                    GatewayResponseHeaders.retryAfter(RequestLimits.RETRY_AFTER_QUOTA),
                    EMPTY_BODY,
                )
            }
            QuotaOutcome.Unreachable -> refuse("no quota holder answered", RequestLimits.RETRY_AFTER_UNCONFIRMED)
            QuotaOutcome.Unlimited, is QuotaOutcome.ChargedLocally, is QuotaOutcome.ChargedRemotely -> startPlacement()
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
        if (account != null && !context.tableCache.allowsKeyedRequests(now)) {
            leaveQueue()
            giveUp("the table is not confirmed", RequestLimits.RETRY_AFTER_UNCONFIRMED)
            return QueueStep.DONE
        }
        poisonReason()?.let { reason ->
            leaveQueue()
            giveUp(reason, RequestLimits.RETRY_AFTER_POISON)
            return QueueStep.DONE
        }
        val placement = choosePlacement(now)
        if (placement is Placement.Chosen) {
            leaveQueue()
            send(Attempt(context, this, placement.upstream, head.requestId, head.promptTokens, route))
            return QueueStep.DONE
        }
        if (placement is Placement.Paused && (placement.untriedReturnNanos ?: Long.MAX_VALUE) >= queueDeadlineNanos) {
            leaveQueue()
            giveUp("all upstreams ask to be left alone", Duration.ofNanos(placement.returnNanos - now).plusMillis(1))
            return QueueStep.DONE
        }
        if (now < queueDeadlineNanos) return if (triedUpstreams.isEmpty()) QueueStep.SATURATED else QueueStep.BLOCKED
        leaveQueue()
        context.queues.recordShortage(head.requestId, placementQuery(), now)
        giveUp(if (placement is Placement.Busy) "no upstream is free" else "no upstream is available", RequestLimits.RETRY_AFTER)
        return QueueStep.DONE
    }

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
            attempt.recordProgress()
        }
        if (splitter.pendingBytes > MAX_EVENT_BYTES) attempt.failMalformed("event exceeds $MAX_EVENT_BYTES bytes")
    }

    override fun onLargeResponseStarted(
        attempt: Attempt,
        response: HttpResponse,
    ) {
        isHeadSent = true
        isLarge = true
        recordOutput()
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
        if (splitter.isInsideEvent) return onFailed(attempt, AttemptEnd.Broken("stream ended inside an event"), null)
        sendHead()
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
        if (end is AttemptEnd.Broken && end.isConnectionLost && !attempt.hasOutput) {
            context.poison.parts.onCrash(sharedPartIds, attempt.entry.upstream.id, context.clock.now().toEpochMilli())
        }
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
            "output" to attempt.hasOutput,
            "sharedParts" to sharedPartIds.joinToString(",") { it.toULong().toString(HEX_RADIX) }.ifEmpty { null },
            "next" to next,
            "retriesUsed" to retries.used.toInt(),
            "retriesAllowed" to retries.allowed.toInt(),
            "instances" to context.retryBudget.instances,
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

    private fun poisonReason(): String? = context.poison.refusalReason(fingerprint, sharedPartIds)

    private fun recordOutput() {
        if (isOutputRecorded) return
        isOutputRecorded = true
        if (sharedPartIds.isNotEmpty()) context.poison.parts.onOutput(sharedPartIds, context.clock.now().toEpochMilli())
    }

    private fun choosePlacement(now: Long): Placement =
        when (val versions = context.versionOrders.choice(service, drawsOrderedVersion)) {
            VersionChoice.Any -> context.balancer.choose(placementQuery(), now)
            is VersionChoice.Avoiding -> {
                val placement = context.balancer.choose(placementQuery(excludedVersion = versions.version), now)
                if (placement == Placement.NoUpstream) context.balancer.choose(placementQuery(), now) else placement
            }
            is VersionChoice.Preferring -> {
                val preferred = context.balancer.choose(placementQuery(requiredVersion = versions.version), now)
                val other = if (preferred is Placement.Chosen) preferred else context.balancer.choose(placementQuery(), now)
                if (other == Placement.NoUpstream) preferred else other
            }
        }

    private fun placementQuery(
        requiredVersion: VersionLabel? = null,
        excludedVersion: VersionLabel? = null,
    ): PlacementQuery {
        val shared = head.sharedParts.ifEmpty { head.promptParts }
        return PlacementQuery(
            service,
            shared.map {
                it.id
            },
            shared.sumOf { it.tokens },
            head.promptTokens,
            triedUpstreams,
            StableHash.of(head.requestId.orEmpty()),
            requiredVersion,
            excludedVersion,
        )
    }

    private fun placeOrQueue(maxWait: Duration) {
        val now = now()
        queueDeadlineNanos = minOf(now + maxWait.toNanos(), deadlineNanos)
        isWaiting = true
        context.queues.add(this, service, account?.priority ?: route.priority, deadlineNanos)
        // The queue alone notices the end of the wait only when capacity is offered to this request.
        if (isWaiting) schedule(queueDeadlineNanos - now) { tryPlace() }
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
        val maxIdle = if (route.repeatable) RequestLimits.MAX_IDLE else RequestLimits.MAX_IDLE_NON_REPEATABLE
        attempt.start(maxIdle) { buildUpstreamRequest(attempt) }
        watchProgress(attempt)
    }

    private fun buildUpstreamRequest(attempt: Attempt): FullHttpRequest {
        val target =
            ForwardTarget(
                attempt.entry.upstream.id,
                account?.id,
                Duration.ofNanos(maxOf(0, deadlineNanos - now())),
                if (isHeadSent) lastEventId else head.lastEventId,
                null,
            )
        val source = request.head
        val headers = context.protocol.upstreamHeaders(source, target)
        val hasBody = request.body.isNotEmpty() || source.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        if (hasBody) headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        val content = Unpooled.wrappedBuffer(request.body)
        return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, source.method(), source.uri(), content, headers, EmptyHttpHeaders.INSTANCE)
    }

    /** Ends a stalled attempt of a repeatable request while another upstream can still respond in time. */
    private fun watchProgress(watched: Attempt) {
        if (!route.repeatable || runs + 1 >= route.maxAttempts) return
        val limit = stallTimeoutNanos()
        val left = watched.progressNanos + limit - now()
        schedule(maxOf(left, MIN_CHECK_NANOS)) {
            if (attempt !== watched) return@schedule
            if (now() - watched.progressNanos >= limit) watched.failStalled() else watchProgress(watched)
        }
    }

    private fun stallTimeoutNanos(): Long {
        if (route.kind != RequestKind.STREAM) return ((deadlineNanos - now()) * RequestLimits.ATTEMPT_TIME_SHARE).toLong()
        val pauses = route.longestPause?.multipliedBy(RequestLimits.CALLER_TIMEOUT_PAUSES) ?: Duration.ZERO
        val callerTimeout =
            maxOf(RequestLimits.MIN_CALLER_TIMEOUT, route.targetLatency.multipliedBy(RequestLimits.CALLER_TIMEOUT_TARGET_LATENCIES), pauses)
        return (callerTimeout.toNanos() * RequestLimits.STALL_TIMEOUT_SHARE).toLong()
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
        retryAfter: Duration,
    ) {
        when {
            isHeadSent -> abort()
            proof == ExecutionProof.NOT_RUN -> refuse(reason, retryAfter)
            else -> fail(HttpResponseStatus.BAD_GATEWAY)
        }
    }

    private fun refuse(
        reason: String,
        retryAfter: Duration,
    ) {
        context.quotas.refund(charge)
        finish("refused", reason)
        reply.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, GatewayResponseHeaders.retryAfter(retryAfter), EMPTY_BODY)
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
            "units" to account?.let { quotaCostOf(it, head).toLong() },
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

    internal companion object {
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val HEX_RADIX = 16

        /** Largest event that is buffered until it is complete; events of token streams have some hundred bytes. */
        private const val MAX_EVENT_BYTES = 64 * 1_024

        /** Shortest interval between two progress checks of an attempt. */
        private const val MIN_CHECK_NANOS = 20_000_000L
        private val EMPTY_BODY = ByteArray(0)

        /** Statuses that tell a caller that its request did not run. */
        private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)

        /** Units of the quota of [account] that the request with [head] uses. */
        fun quotaCostOf(
            account: ServedAccount,
            head: CallerRequestHead,
        ): Double {
            if (account.unit == QuotaUnit.REQUESTS) return 1.0
            val stated = head.promptTokens.toLong() + head.maxOutputTokens
            return (if (stated > 0) stated else account.plainTokens).toDouble()
        }

        /** Hash of the client account, URI and body of a request; the same for each retry by its caller. */
        fun fingerprintOf(
            account: ServedAccount?,
            uri: String,
            body: ByteArray,
        ): Long = StableHash.combine(StableHash.of(uri + '\n' + account?.id?.value), StableHash.of(body))
    }
}
