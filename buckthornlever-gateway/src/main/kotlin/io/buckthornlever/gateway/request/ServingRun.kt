package io.buckthornlever.gateway.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.RequestKind
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.ServedRoute
import io.buckthornlever.core.serving.AttemptEnd
import io.buckthornlever.core.serving.StableHash
import io.buckthornlever.core.serving.EventSplitter
import io.buckthornlever.core.serving.NextStep
import io.buckthornlever.core.serving.Placement
import io.buckthornlever.core.serving.PlacementQuery
import io.buckthornlever.core.serving.RetryPolicy
import io.buckthornlever.core.serving.ExecutionProof
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
 * One admitted request of a caller, from its place in the queue to its final answer.
 *
 * @param service service that the route's weights chose
 * @param deadlineNanos monotonic time at which the final answer is due
 */
internal class ServingRun(
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
    AttemptOwner {
    private val tried = HashSet<UpstreamId>()
    private val splitter = EventSplitter()
    private val timers = ArrayList<ScheduledFuture<*>>()
    private var charge: QuotaOutcome = QuotaOutcome.Unlimited
    private var attempt: Attempt? = null
    private var waitUntil = 0L
    private var isWaiting = false
    private var proof = ExecutionProof.NOT_RUN
    private var runs = 0
    private var sends = 0
    private var counted = false
    private var answerStarted = false
    private var large = false
    private var streamHead: HttpResponse? = null
    private var lastEventId: Long? = head.lastEventId
    private var over = false

    /** Charges the request to its account's quota and looks for a place. */
    fun start() {
        schedule(deadlineNanos - now()) { deadlinePassed() }
        if (account == null) place() else context.quotas.charge(account, costOf(account, head), ::charged)
    }

    private fun charged(outcome: QuotaOutcome) {
        if (over) return context.quotas.refund(outcome)
        charge = outcome
        when (outcome) {
            QuotaOutcome.Exhausted -> {
                close("refused", "quota")
                reply.respond(HttpResponseStatus.TOO_MANY_REQUESTS, OwnAnswers.retryAfter(RequestLimits.RETRY_AFTER_QUOTA), EMPTY_BODY)
            }
            QuotaOutcome.Unreachable -> refuse("no holder of the quota answers", RequestLimits.RETRY_AFTER_UNCONFIRMED)
            QuotaOutcome.Unlimited, is QuotaOutcome.ChargedLocally, is QuotaOutcome.ChargedRemotely -> place()
        }
    }

    private fun place() {
        context.repeats.onRequest(service, now())
        context.demand.onRequest(service, head.promptTokens, now())
        waitForPlace(Duration.ofMillis((route.targetLatency.toMillis() * RequestLimits.WAIT_SHARE).toLong()))
    }

    /** Looks for room; returns false when the request has to wait on. */
    fun tryPlace(): Boolean {
        if (over || !isWaiting) return true
        val now = now()
        if (account != null && !context.belief.allowsKeyedRequests(now)) {
            leaveQueue()
            giveUp("the table is not confirmed", RequestLimits.RETRY_AFTER_UNCONFIRMED)
            return true
        }
        val placement = context.board.choose(query(), now)
        if (placement is Placement.Chosen) {
            leaveQueue()
            send(Attempt(context, this, placement.upstream, head.requestId, head.promptTokens, route.kind == RequestKind.STREAM))
            return true
        }
        if (now < waitUntil) return false
        leaveQueue()
        giveUp(if (placement is Placement.Busy) "no room" else "no upstream", RequestLimits.RETRY_AFTER)
        return true
    }

    override fun onCallerDisconnected() {
        if (over) return
        context.log.write(GatewayEvent.CALLER_LEFT, "request" to head.requestId, "route" to route.name, "proof" to proof)
        if (proof == ExecutionProof.NOT_RUN && attempt?.wasSent != true) context.quotas.refund(charge)
        close("caller-left")
        attempt?.cancel()
    }

    override fun onWritabilityChanged(writable: Boolean) {
        attempt?.read(writable)
    }

    override fun began(attempt: Attempt) {
        proof = ExecutionProof.HAS_RUN
        if (counted || account == null) return
        counted = true
        val since = if (route.kind == RequestKind.STREAM) context.clock.now().toEpochMilli() else attempt.sentMillis
        context.usage.onStarted(account.id, since)
    }

    override fun streamStarted(
        attempt: Attempt,
        response: HttpResponse,
    ) {
        if (!answerStarted) streamHead = response
    }

    override fun streamData(
        attempt: Attempt,
        bytes: ByteArray,
    ) {
        for (event in splitter.add(bytes)) {
            val id = event.id
            val last = lastEventId
            if (id != null && last != null && id <= last) continue
            if (id != null) lastEventId = id
            startAnswer()
            reply.write(event.bytes)
            attempt.progressed()
        }
        if (splitter.pendingBytes > MAX_EVENT_BYTES) attempt.malformed("event without end")
    }

    override fun largeStarted(
        attempt: Attempt,
        response: HttpResponse,
    ) {
        answerStarted = true
        large = true
        reply.start(response.status(), context.protocol.callerHeaders(response))
    }

    override fun largeData(
        attempt: Attempt,
        bytes: ByteArray,
    ): Unit = reply.write(bytes)

    override fun largeEnded(attempt: Attempt) {
        close("served")
        reply.end()
        context.queues.retry(service)
    }

    override fun streamEnded(attempt: Attempt) {
        if (splitter.isInsideEvent) return ended(attempt, AttemptEnd.Broken("the stream ended inside an event"), null)
        startAnswer()
        close("served")
        reply.end()
        context.queues.retry(service)
    }

    override fun answered(
        attempt: Attempt,
        answer: StoredAnswer,
    ) {
        close("served")
        reply.respond(answer.status, answer.headers, answer.body)
        context.queues.retry(service)
    }

    override fun ended(
        attempt: Attempt,
        end: AttemptEnd,
        failure: StoredAnswer?,
    ) {
        if (over) return
        this.attempt = null
        splitter.reset()
        val before = proof
        proof = proof.strongerOf(end.proof)
        if (end.proof != ExecutionProof.NOT_RUN) runs++
        if (end is AttemptEnd.Broken) context.crashes.onBrokenRun(fingerprint, now())
        // Another run cannot go on in the middle of an answer without events.
        val next = if (large) NextStep.ABORT else RetryPolicy.next(route, end, before, runs, sends, answerStarted) { mayRepeat() }
        context.log.write(
            GatewayEvent.ATTEMPT_ENDED,
            "request" to head.requestId,
            "upstream" to attempt.entry.upstream.id,
            "end" to end,
            "proof" to proof,
            "next" to next,
        )
        proceed(next, failure)
        context.queues.retry(service)
    }

    /** The head goes out with the first event, so that a run that ends before it can still be answered otherwise. */
    private fun startAnswer() {
        val response = streamHead ?: return
        streamHead = null
        answerStarted = true
        reply.start(response.status(), context.protocol.callerHeaders(response))
    }

    private fun proceed(
        next: NextStep,
        failure: StoredAnswer?,
    ) {
        when (next) {
            NextStep.TRY_ANOTHER -> waitForPlace(Duration.ofNanos(maxOf(0, deadlineNanos - now()) / 2))
            NextStep.REFUSE_NOT_RUN -> refuse("upstreams refused", RequestLimits.RETRY_AFTER)
            NextStep.FAIL_UNKNOWN -> fail(HttpResponseStatus.BAD_GATEWAY)
            NextStep.RELAY_FAILURE -> if (failure == null ||
                failure.status.code() in PROMISES
            ) {
                fail(HttpResponseStatus.BAD_GATEWAY)
            } else {
                relay(failure)
            }
            NextStep.ABORT -> abort()
        }
    }

    private fun mayRepeat(): Boolean =
        deadlineNanos - now() > RequestLimits.LEAST_TIME.toNanos() && !context.crashes.isBlocked(fingerprint) &&
            context.repeats.tryAcquire(service, now())

    private fun query(): PlacementQuery {
        val shared = head.promptParts.dropLast(1).ifEmpty { head.promptParts }
        return PlacementQuery(
            service,
            shared.map {
                it.id
            },
            shared.sumOf { it.tokens },
            head.promptTokens,
            tried,
            StableHash.of(head.requestId.orEmpty()),
        )
    }

    private fun waitForPlace(longest: Duration) {
        val now = now()
        waitUntil = minOf(now + longest.toNanos(), deadlineNanos)
        isWaiting = true
        if (!tryPlace()) context.queues.add(this, service, account?.priority ?: route.priority, deadlineNanos)
    }

    private fun leaveQueue() {
        isWaiting = false
        context.queues.remove(this, service)
    }

    private fun send(attempt: Attempt) {
        sends++
        this.attempt = attempt
        tried.add(attempt.entry.upstream.id)
        val maxIdle = if (route.repeatable) RequestLimits.MAX_IDLE else RequestLimits.MAX_IDLE_UNREPEATABLE
        attempt.start(maxIdle) { forwarded(attempt) }
        watchProgress(attempt)
    }

    private fun forwarded(attempt: Attempt): FullHttpRequest {
        val target =
            ForwardTarget(
                attempt.entry.upstream.id,
                account?.id,
                Duration.ofNanos(maxOf(0, deadlineNanos - now())),
                if (answerStarted) lastEventId else head.lastEventId,
                null,
            )
        val source = request.head
        val headers = context.protocol.upstreamHeaders(source, target)
        val hasBody = request.body.isNotEmpty() || source.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        if (hasBody) headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        val content = Unpooled.wrappedBuffer(request.body)
        return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, source.method(), source.uri(), content, headers, EmptyHttpHeaders.INSTANCE)
    }

    /** Ends attempts of repeatable requests that show no progress, while another upstream may still answer in time. */
    private fun watchProgress(watched: Attempt) {
        if (!route.repeatable || runs + 1 >= route.maxAttempts) return
        val limit = silenceLimit()
        val left = watched.progressNanos + limit - now()
        schedule(maxOf(left, MIN_CHECK_NANOS)) {
            if (attempt !== watched) return@schedule
            if (now() - watched.progressNanos >= limit) watched.silent() else watchProgress(watched)
        }
    }

    private fun silenceLimit(): Long {
        if (route.kind != RequestKind.STREAM) return ((deadlineNanos - now()) * RequestLimits.ATTEMPT_SHARE).toLong()
        val pause = route.longestPause?.multipliedBy(RequestLimits.PATIENCE_PAUSES) ?: Duration.ZERO
        val patience = maxOf(RequestLimits.LEAST_PATIENCE, route.targetLatency.multipliedBy(RequestLimits.PATIENCE_TARGETS), pause)
        return (patience.toNanos() * RequestLimits.SILENCE_SHARE).toLong()
    }

    private fun deadlinePassed() {
        if (over) return
        val running = attempt
        when {
            answerStarted -> abort()
            proof == ExecutionProof.NOT_RUN && running?.wasSent != true -> refuse("deadline passed in the queue", RequestLimits.RETRY_AFTER)
            else -> fail(HttpResponseStatus.GATEWAY_TIMEOUT)
        }
        running?.cancel()
    }

    private fun giveUp(
        reason: String,
        retryAfter: Duration,
    ) {
        when {
            answerStarted -> abort()
            proof == ExecutionProof.NOT_RUN -> refuse(reason, retryAfter)
            else -> fail(HttpResponseStatus.BAD_GATEWAY)
        }
    }

    private fun refuse(
        reason: String,
        retryAfter: Duration,
    ) {
        context.quotas.refund(charge)
        close("refused", reason)
        reply.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, OwnAnswers.retryAfter(retryAfter), EMPTY_BODY)
    }

    private fun fail(status: HttpResponseStatus) {
        close("failed", status.toString())
        reply.respond(status, OwnAnswers.plain(), EMPTY_BODY)
    }

    private fun relay(answer: StoredAnswer) {
        close("upstream-failure", answer.status.toString())
        reply.respond(answer.status, answer.headers, answer.body)
    }

    private fun abort() {
        close("broken-off")
        reply.abort()
    }

    private fun close(
        outcome: String,
        reason: String? = null,
    ) {
        over = true
        timers.forEach { it.cancel(false) }
        if (isWaiting) leaveQueue()
        val millis = (now() - request.arrivedNanos) / NANOS_PER_MILLI
        context.metrics.recordFinished(outcome, millis)
        context.log.write(
            GatewayEvent.REQUEST_FINISHED,
            "request" to head.requestId,
            "route" to route.name,
            "account" to account?.id,
            "upstream" to attempt?.entry?.upstream?.id,
            "sends" to sends,
            "proof" to proof,
            "millis" to millis,
            "table" to context.belief.table?.version,
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

        /** Largest event that is kept until it is whole; events of token streams have some hundred bytes. */
        private const val MAX_EVENT_BYTES = 64 * 1_024

        /** Shortest interval between two checks of an attempt's progress. */
        private const val MIN_CHECK_NANOS = 20_000_000L
        private val EMPTY_BODY = ByteArray(0)

        /** Statuses that promise that a request did not run. */
        private val PROMISES = setOf(408, 421, 429, 503)

        /** Units of [account]'s quota that the request of [head] uses. */
        fun costOf(
            account: ServedAccount,
            head: CallerRequestHead,
        ): Double {
            if (account.unit == QuotaUnit.REQUESTS) return 1.0
            val stated = head.promptTokens.toLong() + head.maxOutputTokens
            return (if (stated > 0) stated else account.plainTokens).toDouble()
        }

        /** Identity of a request's content over repeats of the same caller. */
        fun fingerprintOf(
            account: ServedAccount?,
            uri: String,
            body: ByteArray,
        ): Long = StableHash.combine(StableHash.of(uri + '\n' + account?.id?.value), StableHash.of(body))
    }
}
