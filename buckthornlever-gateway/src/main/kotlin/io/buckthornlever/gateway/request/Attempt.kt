package io.buckthornlever.gateway.request

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.serving.RequestKind
import io.buckthornlever.api.serving.ServedRoute
import io.buckthornlever.core.serving.AttemptEnd
import io.buckthornlever.core.serving.PlacementQuery
import io.buckthornlever.core.serving.StatedLimit
import io.buckthornlever.core.serving.UpstreamEntry
import io.buckthornlever.core.version.Outcome
import io.buckthornlever.gateway.connection.CallerReply
import io.buckthornlever.gateway.connection.ExchangeListener
import io.buckthornlever.gateway.connection.HeadDecision
import io.buckthornlever.gateway.connection.OutboundConnection
import io.buckthornlever.gateway.connection.ResponseDecoder
import io.buckthornlever.gateway.connection.ServerAddress
import io.buckthornlever.gateway.process.GatewayEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import java.io.ByteArrayOutputStream
import java.time.Duration

/**
 * One attempt to execute a request at one upstream. It ends exactly once: with a response, an [AttemptEnd] or [cancel].
 */
internal class Attempt(
    private val context: ServingContext,
    private val listener: AttemptListener,
    val entry: UpstreamEntry,
    private val request: CallerRequestHead,
    private val query: PlacementQuery,
    private val route: ServedRoute,
    private val reply: CallerReply,
) : ExchangeListener {
    private val requestId = request.requestId
    private val basis = context.balancer.basis(entry, query, context.clock.monotonicNanos())
    private var connection: OutboundConnection? = null
    private var response: HttpResponse? = null
    private var head: UpstreamResponseHead? = null
    private var isRelayingStream = false
    private var isRelayingLargeBody = false
    private var bytesSinceProgress = 0

    /** Bytes of a stream since its last complete event. */
    private var unrelayedBytes = 0
    private var isFinished = false
    private var promptTokensReleased = false

    /** Body of a response that is not relayed yet; at most [MAX_BUFFERED_BYTES] and one read more. */
    private var body = ByteArrayOutputStream()

    /** A successful response is relayed as it arrives. */
    private val relaysStream = route.kind == RequestKind.STREAM
    private val wasUnderLoad = entry.expectedLoad(context.clock.monotonicNanos()) * 2 >= entry.upstream.slots
    private val wasCold = entry.isCold(context.clock.monotonicNanos())
    private var sentNanos = 0L
    private var outputNanos: Long? = null

    /**
     * Monotonic time of the last progress: the head of a response, a complete event of a stream, or [PROGRESS_BYTES] of any
     * other body. Single bytes do not count, since a stuck upstream may still send one now and then.
     */
    var progressNanos: Long = context.clock.monotonicNanos()
        private set

    /** Wall-clock time at which the request was sent, in milliseconds. */
    var sentMillis: Long = 0
        private set

    /** Time of the first complete event of a stream; null before it. */
    private var firstEventNanos: Long? = null

    /**
     * True once the output shows that the upstream survives the request. One that crashes on a request does so as it begins to respond:
     * after the head, within the first event, or shortly after it.
     */
    val hasProvenOutput: Boolean
        get() = isRelayingLargeBody || firstEventNanos?.let { context.clock.monotonicNanos() - it >= PROOF_TIME.toNanos() } ?: false

    /** True if the end of the response is the end of its connection, which is what a crash of the upstream looks like, too. */
    private val endsWithConnection: Boolean
        get() = response?.let { !HttpUtil.isContentLengthSet(it) && !HttpUtil.isTransferEncodingChunked(it) } ?: false

    /** Status of the upstream's response; null before there is one. */
    val status: Int? get() = response?.status()?.code()

    /** Local port of the connection that the request was sent on; null before it was sent. */
    val localPort: Int? get() = connection?.localPort

    /** What the upstream was chosen on, and the time to the first event that it took, as fields of a log line. */
    val placementFields: Array<Pair<String, Any?>>
        get() =
            arrayOf(
                "tokensToRead" to basis.tokensToRead,
                "tokensAhead" to basis.tokensAhead,
                "figureAgeMillis" to basis.figureAge?.toMillis(),
                "slowdown" to Math.round(basis.slowdown * PERCENT) / PERCENT,
                "expectedMillis" to basis.expected.firstOutput.toMillis(),
                "firstOutputMillis" to outputNanos?.let { Duration.ofNanos(it - sentNanos).toMillis() },
            )

    /** True once the request has been handed to a connection. */
    val wasSent: Boolean get() = connection != null

    fun start(
        maxIdle: Duration,
        request: () -> FullHttpRequest,
    ) {
        context.balancer.onRequestSent(entry, basis.tokensToRead, context.clock.monotonicNanos(), query.promptTokens)
        context.pool.acquire(ServerAddress(entry.upstream.host, entry.upstream.port), maxIdle, requestId) { result ->
            result.onSuccess { send(it, request) }
            result.onFailure { failUnreachable(it) }
        }
    }

    /** Cancels the attempt and closes its connection, so that the upstream stops working on the request. */
    fun cancel() {
        if (isFinished) return
        finish(null)
        connection?.close()
    }

    /** Ends the attempt because the upstream has made no progress for too long. */
    fun failStalled() {
        if (isFinished) return
        connection?.close()
        if (connection == null) failUnreachable("no connection in time") else fail(AttemptEnd.Broken("no progress in time"), true)
    }

    /** Keeps further attempts of the request off the connection of this one, on which a copy of its response may still arrive. */
    fun excludeRequest() {
        requestId?.let { connection?.exclude(it) }
    }

    /**
     * Why the stream that has ended is not complete; null if it is.
     *
     * @param isInsideEvent true if it has ended within an event
     * @param isResumed true if it follows earlier events, after which there may be none left
     */
    fun incompleteEnd(
        isInsideEvent: Boolean,
        isResumed: Boolean,
    ): AttemptEnd.Broken? =
        when {
            isInsideEvent -> AttemptEnd.Broken("stream ended inside an event", endsWithConnection)
            endsWithConnection && firstEventNanos == null && !isResumed -> AttemptEnd.Broken("stream ended before the first event", true)
            else -> null
        }

    fun setReading(enabled: Boolean) {
        connection?.setAutoRead(enabled)
    }

    override fun onHead(response: HttpResponse): HeadDecision {
        if (isFinished) return HeadDecision.REJECT
        val head = context.protocol.decodeResponse(response)
        if (head.requestId != null && head.requestId != requestId) {
            logSkipped(response, head)
            return HeadDecision.SKIP
        }
        if (head.requestId == null && requestId != null && connection?.isReused == true) {
            // May be a late duplicate of the response to an earlier request, so it proves nothing about this one.
            fail(AttemptEnd.Broken("response without a request id on a reused connection"), true)
            return HeadDecision.REJECT
        }
        progressNanos = context.clock.monotonicNanos()
        this.response = response
        this.head = head
        // A misdirected request was answered by another upstream, at an address that is in use again.
        if (response.status() == HttpResponseStatus.MISDIRECTED_REQUEST) {
            context.balancer.onReplaced(entry, progressNanos)
        } else {
            recordStatements(head)
        }
        if (head.notRun) return HeadDecision.ACCEPT
        val success = response.status().code() in SUCCESS
        if (success && !hasProofOfOrigin(head, response)) {
            fail(AttemptEnd.Broken("success response without proof of origin"), true)
            return HeadDecision.REJECT
        }
        if (success && relaysStream) {
            isRelayingStream = true
            listener.onStreamHead(this, response)
        } else {
            listener.onExecutionStarted(this)
        }
        return HeadDecision.ACCEPT
    }

    private fun logSkipped(
        response: HttpResponse,
        head: UpstreamResponseHead,
    ) {
        context.log.write(
            GatewayEvent.RESPONSE_SKIPPED,
            "request" to requestId,
            "upstream" to entry.upstream.id,
            "responseTo" to head.requestId,
            "status" to response.status().code(),
            "connection" to connection?.localPort,
            "reused" to connection?.isReused,
        )
    }

    private fun recordStatements(head: UpstreamResponseHead) {
        head.load?.let { context.balancer.onLoadReported(entry, it, progressNanos) }
        head.coldFor?.let { context.balancer.onColdReported(entry, it, progressNanos) }
        recordLimit(head.limit)
        if (head.leaving && context.balancer.onLeavingStated(entry, progressNanos)) {
            context.log.write(GatewayEvent.UPSTREAM_LEAVES, "upstream" to entry.upstream.id, "inFlight" to entry.inFlight)
        }
        val pause = context.balancer.onPauseStated(entry, head.pause, progressNanos) ?: return
        context.log.write(
            GatewayEvent.UPSTREAM_PAUSED,
            "upstream" to entry.upstream.id,
            "stated" to head.pause,
            "millis" to pause.toMillis(),
            "inFlight" to entry.inFlight,
        )
    }

    private fun recordLimit(limit: StatedLimit) {
        if (!context.balancer.onLimitStated(entry, limit)) return
        context.log.write(
            GatewayEvent.UPSTREAM_LIMIT_CHANGED,
            "upstream" to entry.upstream.id,
            "stated" to limit,
            "perSecond" to entry.statements.requestsPerSecond,
        )
    }

    override fun onData(bytes: ByteArray) {
        if (isFinished) return
        if (!isRelayingStream) return bufferBody(bytes)
        if (outputNanos == null) {
            recordFirstOutput(context.clock.monotonicNanos())
            releasePromptTokens()
            listener.onExecutionStarted(this)
        }
        unrelayedBytes += bytes.size
        listener.onStreamData(this, bytes)
        if (unrelayedBytes > REPORTED_EVENT_BYTES) reply.onBuffered(unrelayedBytes)
    }

    private fun recordFirstOutput(nanos: Long) {
        outputNanos = nanos
        val time = Duration.ofNanos(nanos - sentNanos)
        context.metrics.recordFirstOutput(time, basis.expected.firstOutput)
        // A cold upstream says nothing about the pace that it will have.
        if (!wasCold) context.balancer.onFirstOutput(entry, query, basis, time, nanos)
    }

    /** Records that a complete event of a stream has been relayed. */
    fun recordEvent() {
        recordProgress()
        firstEventNanos = firstEventNanos ?: progressNanos
    }

    private fun recordProgress() {
        unrelayedBytes = 0
        progressNanos = context.clock.monotonicNanos()
    }

    /** Ends the attempt because the upstream sends bytes that are not a valid response. */
    fun failMalformed(reason: String) {
        if (isFinished) return
        connection?.close()
        fail(AttemptEnd.Broken(reason), true)
    }

    private fun bufferBody(bytes: ByteArray) {
        bytesSinceProgress += bytes.size
        if (bytesSinceProgress >= PROGRESS_BYTES) {
            bytesSinceProgress = 0
            recordProgress()
        }
        if (isRelayingLargeBody) return listener.onLargeResponseData(this, bytes)
        body.write(bytes)
        reply.onBuffered(body.size())
        if (body.size() <= MAX_BUFFERED_BYTES) return
        val response = response ?: return
        if (head?.notRun == true || response.status().code() !in SUCCESS) return failMalformed("error body over $MAX_BUFFERED_BYTES bytes")
        isRelayingLargeBody = true
        listener.onLargeResponseStarted(this, response)
        listener.onLargeResponseData(this, body.toByteArray())
        body = ByteArrayOutputStream(0)
        reply.onBuffered(0)
    }

    override fun onCompleted() {
        if (isFinished) return
        val response = response ?: return
        val status = response.status().code()
        val buffered = BufferedResponse(response.status(), context.protocol.callerHeaders(response), body.toByteArray())
        if (containsOwnHead(buffered.body)) return fail(AttemptEnd.Broken("the response starts again inside its body"), true)
        when {
            head?.notRun == true -> fail(AttemptEnd.NotRun("upstream refused with status $status"), null)
            isRelayingStream -> {
                finish(false)
                listener.onStreamCompleted(this)
            }
            isRelayingLargeBody -> {
                finish(false)
                listener.onLargeResponseCompleted(this)
            }
            status >= FIRST_SERVER_ERROR || status in NOT_RUN_STATUSES -> fail(AttemptEnd.Failed(status), true, buffered)
            else -> {
                finish(false)
                listener.onResponse(this, buffered)
            }
        }
    }

    override fun onBroken(
        reason: String,
        isConnectionLost: Boolean,
    ) {
        if (!isFinished) fail(AttemptEnd.Broken(reason, isConnectionLost), true)
    }

    /** True if [bytes] contain the head of a response to this request, as a body does that was cut and followed by a second response. */
    private fun containsOwnHead(bytes: ByteArray): Boolean {
        val id = requestId ?: return false
        val text = bytes.toString(Charsets.ISO_8859_1)
        return id in text && ResponseDecoder.containsStatusLine(text)
    }

    private fun hasProofOfOrigin(
        head: UpstreamResponseHead,
        response: HttpResponse,
    ): Boolean = head.hasProofOfOrigin && head.requestId != null && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)

    private fun send(
        connection: OutboundConnection,
        request: () -> FullHttpRequest,
    ) {
        if (isFinished) return connection.close()
        this.connection = connection
        sentMillis = context.clock.now().toEpochMilli()
        sentNanos = context.clock.monotonicNanos()
        progressNanos = sentNanos
        connection.send(request(), this)
    }

    private fun failUnreachable(reason: String) {
        if (isFinished) return
        context.balancer.onUnreachable(entry, context.clock.monotonicNanos())
        fail(AttemptEnd.NotRun(reason), null)
    }

    private fun fail(
        end: AttemptEnd,
        failed: Boolean?,
        failure: BufferedResponse? = null,
    ) {
        finish(failed)
        listener.onFailed(this, end, failure)
    }

    private fun finish(failed: Boolean?) {
        isFinished = true
        releasePromptTokens()
        val now = context.clock.monotonicNanos()
        context.balancer.onRequestFinished(entry, failed, now, if (failed == false) Duration.ofNanos(now - sentNanos) else null)
        if (failed == false) outputNanos?.let { recordOutputTime(Duration.ofNanos(now - it)) }
        if (wasSent && head?.notRun != true) recordOutcome(failed ?: false)
    }

    // A resumed stream has fewer output tokens than its caller expects of the whole.
    private fun recordOutputTime(time: Duration) {
        if (request.lastEventId == null) context.balancer.onOutputFinished(entry, request.expectedOutputTokens, time)
    }

    /** Records the time to the first token of a stream, and the whole time otherwise; a cancelled attempt would have taken even longer. */
    private fun recordOutcome(failed: Boolean) {
        val now = context.clock.now()
        val latency = Duration.ofNanos((outputNanos ?: context.clock.monotonicNanos()) - sentNanos)
        val upstream = entry.upstream
        val outcome =
            Outcome(PoolName(upstream.service), RouteName(route.name), upstream.version, failed, latency, wasUnderLoad, wasCold)
        context.versionOrders.observe(outcome, now)
    }

    private fun releasePromptTokens() {
        if (promptTokensReleased) return
        promptTokensReleased = true
        context.balancer.onPromptRead(entry, basis.tokensToRead)
    }

    private companion object {
        val SUCCESS = 200..299
        const val FIRST_SERVER_ERROR = 500
        const val PERCENT = 100.0

        /** Largest body that is buffered until it is complete; a few hundred of these fit into the memory of a small instance. */
        const val MAX_BUFFERED_BYTES = 64 * 1_024

        /** Incomplete event from which on its size counts as held for the caller; usual ones arrive whole. */
        const val REPORTED_EVENT_BYTES = 4 * 1_024

        /** Time after the first event within which a crash still counts as one at the beginning of the output. */
        val PROOF_TIME: Duration = Duration.ofMillis(250)

        /** Bytes of a body that count as progress. */
        const val PROGRESS_BYTES = 512

        /**
         * Statuses that tell a caller that its request did not run. An upstream that does not also mark its response as not run
         * gives no such guarantee, so they count as failures and are not relayed.
         */
        val NOT_RUN_STATUSES = setOf(408, 421, 429)
    }
}
