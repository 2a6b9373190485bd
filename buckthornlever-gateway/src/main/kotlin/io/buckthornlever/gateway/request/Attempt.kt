package io.buckthornlever.gateway.request

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.core.serving.AttemptEnd
import io.buckthornlever.core.serving.UpstreamEntry
import io.buckthornlever.gateway.connection.ExchangeListener
import io.buckthornlever.gateway.connection.HeadVerdict
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
 * @property isStream true when a successful answer is relayed as it arrives
 */
internal class Attempt(
    private val context: ServingContext,
    private val owner: AttemptOwner,
    val entry: UpstreamEntry,
    private val requestId: String?,
    private val promptTokens: Int,
    private val isStream: Boolean,
) : ExchangeListener {
    private var connection: OutboundConnection? = null
    private var response: HttpResponse? = null
    private var head: UpstreamResponseHead? = null
    private var relaying = false
    private var large = false
    private var uncounted = 0
    private var over = false
    private var promptRead = false
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
        context.board.onRequestSent(entry, promptTokens, context.clock.monotonicNanos())
        context.pool.acquire(ServerAddress(entry.upstream.host, entry.upstream.port), maxIdle) { result ->
            result.onSuccess { send(it, request) }
            result.onFailure { unreachable(it) }
        }
    }

    /** Gives the attempt up; the connection is closed so that the upstream stops work. */
    fun cancel() {
        if (over) return
        over(null)
        connection?.close()
    }

    /** Ends the attempt because the upstream has been silent for too long. */
    fun silent() {
        if (over) return
        connection?.close()
        if (connection == null) unreachable("no connection in time") else end(AttemptEnd.Broken("no progress"), true)
    }

    fun read(enabled: Boolean) {
        connection?.read(enabled)
    }

    override fun head(response: HttpResponse): HeadVerdict {
        if (over) return HeadVerdict.REJECT
        val head = context.protocol.decodeResponse(response)
        if (head.requestId != null && head.requestId != requestId) return HeadVerdict.SKIP
        if (head.requestId == null && requestId != null && connection?.isReused == true) {
            // It may be a late copy of an answer to an earlier request, and proves nothing about this one.
            end(AttemptEnd.Broken("answer without a request id on a used connection"), true)
            return HeadVerdict.REJECT
        }
        progressNanos = context.clock.monotonicNanos()
        this.response = response
        this.head = head
        head.running?.let { context.board.onLoadReported(entry, it, head.waiting) }
        head.coldFor?.let { context.board.onColdReported(entry, it, progressNanos) }
        if (head.notRun) return HeadVerdict.ACCEPT
        val success = response.status().code() in SUCCESS
        if (success && !isProven(head, response)) {
            end(AttemptEnd.Broken("success without proof of origin"), true)
            return HeadVerdict.REJECT
        }
        if (success && isStream) {
            relaying = true
            owner.streamStarted(this, response)
        } else {
            owner.began(this)
        }
        return HeadVerdict.ACCEPT
    }

    override fun data(bytes: ByteArray) {
        if (over) return
        if (!relaying) return plainData(bytes)
        if (!promptRead) {
            tokensRead()
            owner.began(this)
        }
        owner.streamData(this, bytes)
    }

    /** A whole event has been passed on. */
    fun progressed() {
        progressNanos = context.clock.monotonicNanos()
    }

    /** Ends the attempt because the upstream sends bytes that are no answer. */
    fun malformed(reason: String) {
        if (over) return
        connection?.close()
        end(AttemptEnd.Broken(reason), true)
    }

    private fun plainData(bytes: ByteArray) {
        uncounted += bytes.size
        if (uncounted >= PROGRESS_BYTES) {
            uncounted = 0
            progressed()
        }
        if (large) return owner.largeData(this, bytes)
        body.write(bytes)
        if (body.size() <= MAX_KEPT_BYTES) return
        val response = response ?: return
        if (head?.notRun == true || response.status().code() !in SUCCESS) return malformed("failure answer without end")
        large = true
        owner.largeStarted(this, response)
        owner.largeData(this, body.toByteArray())
        body.reset()
    }

    override fun ended() {
        if (over) return
        val response = response ?: return
        val status = response.status().code()
        val answer = StoredAnswer(response.status(), context.protocol.callerHeaders(response), body.toByteArray())
        when {
            head?.notRun == true -> end(AttemptEnd.NotRun("upstream refused with status $status"), null)
            relaying -> {
                over(false)
                owner.streamEnded(this)
            }
            large -> {
                over(false)
                owner.largeEnded(this)
            }
            status >= FIRST_SERVER_FAILURE || status in PROMISES -> end(AttemptEnd.Failed(status), true, answer)
            else -> {
                over(false)
                owner.answered(this, answer)
            }
        }
    }

    override fun broken(reason: String) {
        if (!over) end(AttemptEnd.Broken(reason), true)
    }

    private fun isProven(
        head: UpstreamResponseHead,
        response: HttpResponse,
    ): Boolean = head.hasProofOfOrigin && head.requestId != null && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)

    private fun send(
        connection: OutboundConnection,
        request: () -> FullHttpRequest,
    ) {
        if (over) return connection.close()
        this.connection = connection
        sentMillis = context.clock.now().toEpochMilli()
        progressNanos = context.clock.monotonicNanos()
        connection.send(request(), this)
    }

    private fun unreachable(reason: String) {
        if (over) return
        context.board.onUnreachable(entry, context.clock.monotonicNanos())
        end(AttemptEnd.NotRun(reason), null)
    }

    private fun end(
        end: AttemptEnd,
        failed: Boolean?,
        failure: StoredAnswer? = null,
    ) {
        over(failed)
        owner.ended(this, end, failure)
    }

    private fun over(failed: Boolean?) {
        over = true
        tokensRead()
        context.board.onRequestFinished(entry, failed)
    }

    private fun tokensRead() {
        if (promptRead) return
        promptRead = true
        context.board.onPromptRead(entry, promptTokens)
    }

    private companion object {
        val SUCCESS = 200..299
        const val FIRST_SERVER_FAILURE = 500

        /** Bytes of an answer that are kept until it is whole; a few hundred such answers fit into a small machine's memory. */
        const val MAX_KEPT_BYTES = 64 * 1_024

        /** Bytes of a body that count as progress. */
        const val PROGRESS_BYTES = 512

        /** Statuses that promise that a request did not run; without the upstream's word they cannot be relayed. */
        val PROMISES = setOf(408, 421, 429)
    }
}
