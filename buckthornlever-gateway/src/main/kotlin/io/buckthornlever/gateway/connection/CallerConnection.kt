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
 * One connection of a caller. Requests are read completely before they are served, one at a time. Reading continues meanwhile,
 * so that a caller that disconnects is noticed at once.
 */
internal class CallerConnection(
    private val service: CallerService,
    private val clock: Clock,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val pipelined = ArrayDeque<CallerRequest>()
    private val body = ByteArrayOutputStream()
    private var partialRequest: HttpRequest? = null
    private var requestStartNanos = 0L
    private var currentReply: Reply? = null
    private var headStartNanos: Long? = null
    private var idleSinceNanos = 0L
    private var isClosing = false

    /** True while no request is being read, waiting or being served. */
    val isIdle: Boolean get() = currentReply == null && partialRequest == null && pipelined.isEmpty() && headStartNanos == null

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    override fun channelActive(context: ChannelHandlerContext) {
        idleSinceNanos = clock.monotonicNanos()
        checkTimeouts()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        onClosed(this)
        isClosing = true
        pipelined.clear()
        currentReply?.onDisconnected()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        currentReply?.exchange?.onWritabilityChanged(channel.isWritable)
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
                isClosing -> Unit
                message is HttpObject && message.decoderResult().isFailure -> refuseMalformed(message.decoderResult().cause())
                else -> {
                    if (message is HttpRequest) readHead(message)
                    if (message is HttpContent) readContent(message)
                }
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Starts the header timeout when bytes arrive between requests, which may not be a complete head yet. */
    fun onBytesReceived() {
        if (partialRequest == null && headStartNanos == null) headStartNanos = clock.monotonicNanos()
    }

    fun close() {
        isClosing = true
        channel.close()
    }

    /** Lets the request that is being served answer before the process ends. */
    fun endExchange() {
        currentReply?.exchange?.onProcessEnding()
    }

    private fun readHead(request: HttpRequest) {
        partialRequest = request
        requestStartNanos = clock.monotonicNanos()
        headStartNanos = null
        body.reset()
        if (HttpUtil.isContentLengthSet(request) && HttpUtil.getContentLength(request) > service.limits.maxBodyBytes) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
        }
    }

    private fun readContent(content: HttpContent) {
        val request = partialRequest ?: return
        body.write(ByteBufUtil.getBytes(content.content()))
        if (body.size() > service.limits.maxBodyBytes) return refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (content !is LastHttpContent) return
        partialRequest = null
        pipelined.addLast(CallerRequest(request, body.toByteArray(), requestStartNanos))
        if (pipelined.size > MAX_PIPELINED) return refuse(HttpResponseStatus.TOO_MANY_REQUESTS)
        // Runs after all available bytes have been read, so that a caller that disconnected after its request is noticed before.
        channel.eventLoop().execute { serveNext() }
    }

    private fun serveNext() {
        if (currentReply != null || isClosing || !channel.isActive) return
        val request = pipelined.removeFirstOrNull() ?: return
        val reply = Reply(request)
        currentReply = reply
        val exchange = service.serve(request, reply)
        reply.exchange = exchange
    }

    private fun refuseMalformed(cause: Throwable) {
        refuse(if (cause is TooLongFrameException) HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE else HttpResponseStatus.BAD_REQUEST)
    }

    /**
     * Refuses a request that cannot be read and closes the connection. While an earlier request is served, [status] is not sent
     * and the connection closes after the response to the earlier one.
     */
    private fun refuse(status: HttpResponseStatus) {
        isClosing = true
        partialRequest = null
        pipelined.clear()
        if (currentReply != null) {
            currentReply?.closesAfterReply = true
            return
        }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun checkTimeouts() {
        if (!channel.isActive) return
        val now = clock.monotonicNanos()
        val limits = service.limits
        val headStart = headStartNanos
        val left =
            when {
                headStart != null -> limits.headerTimeout.toNanos() - (now - headStart)
                partialRequest != null -> limits.idleTimeout.toNanos() - (now - requestStartNanos)
                isIdle -> limits.idleTimeout.toNanos() - (now - idleSinceNanos)
                else -> limits.idleTimeout.toNanos()
            }
        if (left <= 0) {
            if (isIdle) close() else refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            return
        }
        val wait = minOf(left, limits.headerTimeout.toNanos()) + TIMER_SLACK_NANOS
        channel.eventLoop().schedule({ checkTimeouts() }, wait, TimeUnit.NANOSECONDS)
    }

    private inner class Reply(
        private val request: CallerRequest,
    ) : CallerReply {
        var exchange: CallerExchange? = null
        var closesAfterReply = !HttpUtil.isKeepAlive(request.head)
        private var done = false
        private var isDisconnected = false

        fun onDisconnected() {
            if (done) return
            isDisconnected = true
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
            setConnectionHeader(response.headers())
            channel.writeAndFlush(response)
            finish()
        }

        override fun start(
            status: HttpResponseStatus,
            headers: HttpHeaders,
        ) {
            if (done) return
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers.copy())
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH)
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            setConnectionHeader(response.headers())
            channel.writeAndFlush(response)
        }

        override fun write(bytes: ByteArray) {
            if (!done) channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        }

        override fun end() {
            if (done) return
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            finish()
        }

        override fun abort() {
            if (done) return
            done = true
            currentReply = null
            close()
        }

        private fun setConnectionHeader(headers: HttpHeaders) {
            if (service.draining) closesAfterReply = true
            if (closesAfterReply) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun finish() {
            done = true
            currentReply = null
            idleSinceNanos = clock.monotonicNanos()
            if (closesAfterReply) {
                isClosing = true
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            } else {
                channel.eventLoop().execute { serveNext() }
            }
        }
    }

    private companion object {
        const val NO_CONTENT = 204

        /** Requests that may wait on one connection while an earlier one is served. */
        const val MAX_PIPELINED = 16

        /** Added to each timer, so that one that fires slightly early is not set again at once. */
        const val TIMER_SLACK_NANOS = 5_000_000L
    }
}
