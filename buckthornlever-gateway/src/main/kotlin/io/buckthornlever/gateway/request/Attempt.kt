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
    private var head: UpstreamHead? = null
    private var relaying = false
    private var over = false
    private var promptRead = false
    private val body = ByteArrayOutputStream()

    /** Monotonic time of the last sign of the upstream. */
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
        context.board.started(entry, promptTokens, context.clock.monotonicNanos())
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
        val head = context.protocol.answer(response)
        if (head.requestId != null && head.requestId != requestId) return HeadVerdict.SKIP
        progressNanos = context.clock.monotonicNanos()
        this.response = response
        this.head = head
        head.running?.let { context.board.reported(entry, it, head.waiting) }
        head.coldFor?.let { context.board.coldReported(entry, it, progressNanos) }
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
        progressNanos = context.clock.monotonicNanos()
        if (!relaying) return body.write(bytes)
        if (!promptRead) {
            tokensRead()
            owner.began(this)
        }
        owner.streamData(this, bytes)
    }

    override fun ended() {
        if (over) return
        val response = response ?: return
        val status = response.status().code()
        val answer = StoredAnswer(response.status(), context.protocol.relay(response), body.toByteArray())
        when {
            head?.notRun == true -> end(AttemptEnd.NotRun("upstream refused with status $status"), null)
            relaying -> {
                over(false)
                owner.streamEnded(this)
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
        head: UpstreamHead,
        response: HttpResponse,
    ): Boolean = head.sealed && head.requestId != null && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)

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
        context.board.unreachable(entry, context.clock.monotonicNanos())
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
        context.board.finished(entry, failed)
    }

    private fun tokensRead() {
        if (promptRead) return
        promptRead = true
        context.board.promptRead(entry, promptTokens)
    }

    private companion object {
        val SUCCESS = 200..299
        const val FIRST_SERVER_FAILURE = 500

        /** Statuses that promise that a request did not run; without the upstream's word they cannot be relayed. */
        val PROMISES = setOf(408, 421, 429)
    }
}
