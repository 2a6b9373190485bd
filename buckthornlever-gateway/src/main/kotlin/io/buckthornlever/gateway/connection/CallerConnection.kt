package io.buckthornlever.gateway.connection

import io.buckthornlever.api.process.Clock
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/**
 * One connection of a caller. Requests are read whole before they are served, one after another; reading goes on meanwhile, so
 * that a caller who leaves is noticed at once.
 */
internal class CallerConnection(
    private val service: CallerService,
    private val clock: Clock,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val waiting = ArrayDeque<CallerRequest>()
    private val body = ByteArrayOutputStream()
    private var reading: HttpRequest? = null
    private var readingSince = 0L
    private var current: Reply? = null
    private var partSince: Long? = null
    private var idleSince = 0L
    private var closing = false

    /** True while no request is read or served. */
    val isIdle: Boolean get() = current == null && reading == null && waiting.isEmpty() && partSince == null

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    override fun channelActive(context: ChannelHandlerContext) {
        idleSince = clock.monotonicNanos()
        watchTime()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        onClosed(this)
        closing = true
        waiting.clear()
        current?.gone()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        current?.exchange?.onWritabilityChanged(channel.isWritable)
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        context.close()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            when {
                closing -> Unit
                message is HttpObject && message.decoderResult().isFailure -> malformed(message.decoderResult().cause())
                else -> {
                    if (message is HttpRequest) head(message)
                    if (message is HttpContent) content(message)
                }
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Bytes have arrived that may not make up the head of a request yet. */
    fun bytesArrived() {
        if (reading == null && partSince == null) partSince = clock.monotonicNanos()
    }

    fun close() {
        closing = true
        channel.close()
    }

    private fun head(request: HttpRequest) {
        reading = request
        readingSince = clock.monotonicNanos()
        partSince = null
        body.reset()
        if (HttpUtil.isContentLengthSet(request) && HttpUtil.getContentLength(request) > service.limits.maxBodyBytes) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
        }
    }

    private fun content(content: HttpContent) {
        val request = reading ?: return
        body.write(ByteBufUtil.getBytes(content.content()))
        if (body.size() > service.limits.maxBodyBytes) return refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (content !is LastHttpContent) return
        reading = null
        waiting.addLast(CallerRequest(request, body.toByteArray(), readingSince))
        if (waiting.size > MAX_PIPELINED) return refuse(HttpResponseStatus.TOO_MANY_REQUESTS)
        // By then the connection has been read to its end, and a caller who left behind the request has been noticed.
        channel.eventLoop().execute { serveNext() }
    }

    private fun serveNext() {
        if (current != null || closing || !channel.isActive) return
        val request = waiting.removeFirstOrNull() ?: return
        val reply = Reply(request)
        current = reply
        val exchange = service.serve(request, reply)
        reply.exchange = exchange
    }

    private fun malformed(cause: Throwable) {
        refuse(if (cause is TooLongFrameException) HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE else HttpResponseStatus.BAD_REQUEST)
    }

    /** Answers a request that cannot be read, behind the answers to earlier ones, and closes the connection. */
    private fun refuse(status: HttpResponseStatus) {
        closing = true
        reading = null
        waiting.clear()
        if (current != null) {
            current?.closeAfter = true
            return
        }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun watchTime() {
        if (!channel.isActive) return
        val now = clock.monotonicNanos()
        val limits = service.limits
        val since = partSince
        val left =
            when {
                since != null -> limits.headerTimeout.toNanos() - (now - since)
                reading != null -> limits.idleTimeout.toNanos() - (now - readingSince)
                isIdle -> limits.idleTimeout.toNanos() - (now - idleSince)
                else -> limits.idleTimeout.toNanos()
            }
        if (left <= 0) {
            if (isIdle) close() else refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            return
        }
        val wait = minOf(left, limits.headerTimeout.toNanos()) + TIMER_SLACK_NANOS
        channel.eventLoop().schedule({ watchTime() }, wait, TimeUnit.NANOSECONDS)
    }

    private inner class Reply(
        private val request: CallerRequest,
    ) : CallerReply {
        var exchange: CallerExchange? = null
        var closeAfter = !HttpUtil.isKeepAlive(request.head)
        private var done = false
        private var gone = false

        fun gone() {
            if (done) return
            gone = true
            done = true
            exchange?.onCallerDisconnected()
        }

        override fun respond(
            status: HttpResponseStatus,
            headers: HttpHeaders,
            body: ByteArray,
        ) {
            if (done) return
            val content = if (request.head.method() == HttpMethod.HEAD) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content, headers.copy(), EmptyHttpHeaders.INSTANCE)
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING)
            if (status.code() != NO_CONTENT) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
            connectionHeader(response.headers())
            channel.writeAndFlush(response)
            finished()
        }

        override fun start(
            status: HttpResponseStatus,
            headers: HttpHeaders,
        ) {
            if (done) return
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers.copy())
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH)
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            connectionHeader(response.headers())
            channel.writeAndFlush(response)
        }

        override fun write(bytes: ByteArray) {
            if (!done) channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        }

        override fun end() {
            if (done) return
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            finished()
        }

        override fun abort() {
            if (done) return
            done = true
            current = null
            close()
        }

        private fun connectionHeader(headers: HttpHeaders) {
            if (service.draining) closeAfter = true
            if (closeAfter) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun finished() {
            done = true
            current = null
            idleSince = clock.monotonicNanos()
            if (closeAfter) {
                closing = true
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            } else {
                channel.eventLoop().execute { serveNext() }
            }
        }
    }

    private companion object {
        const val NO_CONTENT = 204

        /** Requests that a caller may send ahead on one connection. */
        const val MAX_PIPELINED = 16

        /** Keeps a timer that fires early from being set again at once. */
        const val TIMER_SLACK_NANOS = 5_000_000L
    }
}
