package io.buckthornlever.gateway.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.io.ByteArrayOutputStream
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Makes calls to one server, each with a timeout. A connection whose response is overdue, or whose body is larger than
 * [maxResponseBytes], is closed. Connections that were idle for longer than [maxIdle] are not used.
 */
public class HttpCallClient(
    private val loop: EventLoop,
    private val pool: ConnectionPool,
    private val address: ServerAddress,
    private val maxResponseBytes: Int = DEFAULT_MAX_RESPONSE_BYTES,
    private val maxIdle: Duration = MAX_IDLE,
) {
    /** Number of calls made since the start. */
    public var callCount: Long = 0
        private set

    /** Sends a request and passes its complete response, or the reason why there is none, to [done]. */
    public fun call(
        method: HttpMethod,
        path: String,
        headers: Map<String, String>,
        body: ByteArray?,
        timeout: Duration,
        done: (Result<HttpCallResponse, HttpCallFailure>) -> Unit,
    ) {
        callCount++
        val call = Call(maxResponseBytes, done)
        val timer = loop.schedule({ call.onTimeout() }, timeout.toMillis(), TimeUnit.MILLISECONDS)
        call.onDone = { timer.cancel(false) }
        pool.acquire(address, maxIdle) { result ->
            result.onFailure { call.finish(Err(HttpCallFailure(it, false))) }
            result.onSuccess { call.sendOn(it, request(method, path, headers, body)) }
        }
    }

    /** Runs [action] on the thread of the calls, after the caller has returned. */
    public fun runLater(action: () -> Unit): Unit = loop.execute(action)

    private fun request(
        method: HttpMethod,
        path: String,
        headers: Map<String, String>,
        body: ByteArray?,
    ): DefaultFullHttpRequest {
        val content = if (body == null) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content)
        request.headers().set(HttpHeaderNames.HOST, address.toString())
        headers.forEach { (name, value) -> request.headers().set(name, value) }
        if (body != null) request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        return request
    }

    private class Call(
        private val maxResponseBytes: Int,
        private val done: (Result<HttpCallResponse, HttpCallFailure>) -> Unit,
    ) : ExchangeListener {
        private var connection: OutboundConnection? = null
        private var status = 0
        private var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE

        /** At most [maxResponseBytes]. */
        private val body = ByteArrayOutputStream()
        private var finished = false
        var onDone: () -> Unit = {}

        fun sendOn(
            connection: OutboundConnection,
            request: DefaultFullHttpRequest,
        ) {
            if (finished) {
                connection.close()
                return
            }
            this.connection = connection
            connection.send(request, this)
        }

        fun onTimeout() {
            connection?.close()
            finish(Err(HttpCallFailure("no response in time", connection != null)))
        }

        override fun onHead(response: HttpResponse): HeadDecision {
            status = response.status().code()
            headers = response.headers()
            return HeadDecision.ACCEPT
        }

        override fun onData(bytes: ByteArray) {
            if (body.size() + bytes.size <= maxResponseBytes) return body.write(bytes)
            connection?.close()
            finish(Err(HttpCallFailure("response exceeds $maxResponseBytes bytes", true, isTooLarge = true)))
        }

        override fun onCompleted() = finish(Ok(HttpCallResponse(status, headers, body.toByteArray())))

        override fun onBroken(
            reason: String,
            isConnectionLost: Boolean,
        ) = finish(Err(HttpCallFailure(reason, true)))

        fun finish(result: Result<HttpCallResponse, HttpCallFailure>) {
            if (finished) return
            finished = true
            onDone()
            done(result)
        }
    }

    private companion object {
        /** Several times the largest object of the store, since a watch delivers several versions of one after an interruption. */
        const val DEFAULT_MAX_RESPONSE_BYTES = 8 * 1_024 * 1_024

        /** Connections that were idle for longer may have been dropped unnoticed. */
        val MAX_IDLE: Duration = Duration.ofSeconds(3)
    }
}
