package io.buckthornlever.gateway.request

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.core.serving.AttemptEnd
import io.buckthornlever.core.serving.UpstreamEntry
import io.buckthornlever.gateway.connection.ExchangeListener
import io.buckthornlever.gateway.connection.HeadDecision
import io.buckthornlever.gateway.connection.OutboundConnection
import io.buckthornlever.gateway.connection.ServerAddress
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import java.io.ByteArrayOutputStream
import java.time.Duration

/**
 * One attempt to have a request run at one upstream. It ends exactly once, by an answer, an [AttemptEnd] or [cancel].
 *
 * @property relaysStream true when a successful answer is relayed as it arrives
 */
internal class Attempt(
    private val context: ServingContext,
    private val listener: AttemptListener,
    val entry: UpstreamEntry,
    private val requestId: String?,
    private val promptTokens: Int,
    private val relaysStream: Boolean,
) : ExchangeListener {
    private var connection: OutboundConnection? = null
    private var response: HttpResponse? = null
    private var upstreamHead: UpstreamHead? = null
    private var isRelayingStream = false
    private var isRelayingLargeBody = false
    private var bytesSinceProgress = 0
    private var isFinished = false
    private var promptTokensReleased = false
    private val body = ByteArrayOutputStream()

    /**
     * Monotonic time of the last progress: an answer's head, a whole event of a stream, or a good part of another body. Single
     * bytes are none, since an upstream that is stuck may still send one now and then.
     */
    var progressNanos: Long = context.clock.monotonicNanos()
        private set

    /** Wall-clock time at which the request was sent, in milliseconds. */
    var sentMillis: Long = 0
        private set

    /** True once the request has been handed to a connection. */
    val wasSent: Boolean get() = connection != null

    fun start(
        maxIdle: Duration,
        request: () -> FullHttpRequest,
    ) {
        context.balancer.started(entry, promptTokens, context.clock.monotonicNanos())
        context.pool.acquire(ServerAddress(entry.upstream.host, entry.upstream.port), maxIdle) { result ->
            result.onSuccess { send(it, request) }
            result.onFailure { failUnreachable(it) }
        }
    }

    /** Gives the attempt up; the connection is closed so that the upstream stops work. */
    fun cancel() {
        if (isFinished) return
        finish(null)
        connection?.close()
    }

    /** Ends the attempt because the upstream has been silent for too long. */
    fun failStalled() {
        if (isFinished) return
        connection?.close()
        if (connection == null) failUnreachable("no connection in time") else endUnanswered(AttemptEnd.Broken("no progress"), true)
    }

    fun setReading(enabled: Boolean) {
        connection?.setAutoRead(enabled)
    }

    override fun onHead(response: HttpResponse): HeadDecision {
        if (isFinished) return HeadDecision.REJECT
        val head = context.protocol.answer(response)
        if (head.requestId != null && head.requestId != requestId) return HeadDecision.SKIP
        if (head.requestId == null && requestId != null && connection?.isReused == true) {
            // It may be a late copy of an answer to an earlier request, and proves nothing about this one.
            endUnanswered(AttemptEnd.Broken("answer without a request id on a used connection"), true)
            return HeadDecision.REJECT
        }
        progressNanos = context.clock.monotonicNanos()
        this.response = response
        this.upstreamHead = head
        head.running?.let { context.balancer.reported(entry, it, head.waiting) }
        head.coldFor?.let { context.balancer.coldReported(entry, it, progressNanos) }
        if (head.notRun) return HeadDecision.ACCEPT
        val success = response.status().code() in SUCCESS
        if (success && !hasProofOfOrigin(head, response)) {
            endUnanswered(AttemptEnd.Broken("success without proof of origin"), true)
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

    override fun onData(bytes: ByteArray) {
        if (isFinished) return
        if (!isRelayingStream) return bufferBody(bytes)
        if (!promptTokensReleased) {
            releasePromptTokens()
            listener.onExecutionStarted(this)
        }
        listener.onStreamData(this, bytes)
    }

    /** A whole event has been passed on. */
    fun recordProgress() {
        progressNanos = context.clock.monotonicNanos()
    }

    /** Ends the attempt because the upstream sends bytes that are no answer. */
    fun failMalformed(reason: String) {
        if (isFinished) return
        connection?.close()
        endUnanswered(AttemptEnd.Broken(reason), true)
    }

    private fun bufferBody(bytes: ByteArray) {
        bytesSinceProgress += bytes.size
        if (bytesSinceProgress >= PROGRESS_BYTES) {
            bytesSinceProgress = 0
            recordProgress()
        }
        if (isRelayingLargeBody) return listener.onLargeResponseData(this, bytes)
        body.write(bytes)
        if (body.size() <= MAX_BUFFERED_BYTES) return
        val response = response ?: return
        if (upstreamHead?.notRun == true || response.status().code() !in SUCCESS) return failMalformed("failure answer without end")
        isRelayingLargeBody = true
        listener.onLargeResponseStarted(this, response)
        listener.onLargeResponseData(this, body.toByteArray())
        body.reset()
    }

    override fun onCompleted() {
        if (isFinished) return
        val response = response ?: return
        val status = response.status().code()
        val answer = BufferedResponse(response.status(), context.protocol.relay(response), body.toByteArray())
        when {
            upstreamHead?.notRun == true -> endUnanswered(AttemptEnd.NotRun("upstream refused with status $status"), null)
            isRelayingStream -> {
                finish(false)
                listener.onStreamCompleted(this)
            }
            isRelayingLargeBody -> {
                finish(false)
                listener.onLargeResponseCompleted(this)
            }
            status >= FIRST_SERVER_ERROR || status in NOT_RUN_STATUSES -> endUnanswered(AttemptEnd.Failed(status), true, answer)
            else -> {
                finish(false)
                listener.onResponse(this, answer)
            }
        }
    }

    override fun onBroken(reason: String) {
        if (!isFinished) endUnanswered(AttemptEnd.Broken(reason), true)
    }

    private fun hasProofOfOrigin(
        head: UpstreamHead,
        response: HttpResponse,
    ): Boolean = head.sealed && head.requestId != null && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)

    private fun send(
        connection: OutboundConnection,
        request: () -> FullHttpRequest,
    ) {
        if (isFinished) return connection.close()
        this.connection = connection
        sentMillis = context.clock.now().toEpochMilli()
        progressNanos = context.clock.monotonicNanos()
        connection.send(request(), this)
    }

    private fun failUnreachable(reason: String) {
        if (isFinished) return
        context.balancer.unreachable(entry, context.clock.monotonicNanos())
        endUnanswered(AttemptEnd.NotRun(reason), null)
    }

    private fun endUnanswered(
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
        context.balancer.finished(entry, failed)
    }

    private fun releasePromptTokens() {
        if (promptTokensReleased) return
        promptTokensReleased = true
        context.balancer.promptRead(entry, promptTokens)
    }

    private companion object {
        val SUCCESS = 200..299
        const val FIRST_SERVER_ERROR = 500

        /** Bytes of an answer that are kept until it is whole; a few hundred such answers fit into a small machine's memory. */
        const val MAX_BUFFERED_BYTES = 64 * 1_024

        /** Bytes of a body that count as progress. */
        const val PROGRESS_BYTES = 512

        /** Statuses that promise that a request did not run; without the upstream's word they cannot be relayed. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429)
    }
}
