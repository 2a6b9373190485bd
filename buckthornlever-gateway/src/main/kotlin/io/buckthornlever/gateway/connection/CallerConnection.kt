package io.buckthornlever.gateway.connection

import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.serving.CallerRefusal
import io.buckthornlever.core.serving.HolderPhase
import io.buckthornlever.core.serving.MemoryHolder
import io.buckthornlever.core.serving.ProcessResources
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
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
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * One connection of a caller. Requests are read completely before they are served, one at a time. Reading continues meanwhile,
 * so that a caller that disconnects is noticed at once. What the process holds for the connection counts towards [memory]; while that is
 * short, the rest of a request is read later or refused.
 */
internal class CallerConnection(
    private val service: CallerService,
    private val clock: Clock,
    private val memory: CallerMemory,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val pipelined = ArrayDeque<CallerRequest>()
    private val body = BodyBuffer()
    private var decoder: CallerDecoder? = null
    private var partialRequest: HttpRequest? = null
    private var partialHeadBytes = 0

    /** Length of the body that is being read; -1 if the caller does not state it. */
    private var bodyLength = -1

    /** Bytes of the requests that wait or are being served. */
    private var requestBytes = 0L
    private var pendingBytes = 0L
    private var timer: Future<*>? = null
    private var requestStartNanos = 0L
    private var currentReply: Reply? = null
    private var headStartNanos: Long? = null

    /** Largest head as of the arrival of the first bytes of the one that is being read. */
    private var headLimit = Int.MAX_VALUE
    private var idleSinceNanos = 0L
    private var isClosing = false
    private var isReleased = false

    /** True while nothing may be read. */
    var isPaused = false
        private set

    /** What the connection holds. */
    lateinit var holder: MemoryHolder
        private set

    /** True while no request is being read, waiting or being served, and no response is being sent. */
    val isIdle: Boolean get() = hasNoRequest && pendingBytes() == 0L

    private val hasNoRequest: Boolean get() = currentReply == null && pipelined.isEmpty() && !isReading

    private val isReading: Boolean get() = partialRequest != null || headStartNanos != null

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        decoder = channel.pipeline().get(CallerDecoder::class.java)
        holder = memory.add(this)
        refresh()
    }

    override fun handlerRemoved(context: ChannelHandlerContext): Unit = release()

    override fun channelActive(context: ChannelHandlerContext) {
        idleSinceNanos = clock.monotonicNanos()
        checkTimeouts()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        release()
        currentReply?.onDisconnected()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        currentReply?.exchange?.onWritabilityChanged(channel.isWritable)
        refresh()
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        fail(cause)
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

    /**
     * Starts the header timeout when bytes arrive between requests, which may not be a complete head yet. They are decoded with the
     * limits in force now; those of an idle connection may be old.
     */
    fun onBytesReceived() {
        if (isReading) return
        headStartNanos = clock.monotonicNanos()
        renewDecoder()
        headLimit = decoder?.maxHeaderBytes ?: Int.MAX_VALUE
    }

    /** Counts what is left of [count] bytes that have been received and decoded, and stops reading while memory is short. */
    fun onBytesDecoded(count: Int) {
        memory.onMoved(holder, count)
        refresh()
        if (isReading && memory.isShort && !isClosing) limitReading()
    }

    /** Updates what the connection holds. */
    fun refresh() {
        val pending = pendingBytes()
        if (pending < pendingBytes) memory.onMoved(holder, (pendingBytes - pending).toInt())
        pendingBytes = pending
        val replyBytes = currentReply?.let { EXCHANGE_BYTES + it.bufferedBytes } ?: 0
        val readBytes = (decoder?.heldBytes ?: 0) + partialHeadBytes + body.heldBytes
        memory.update(holder, ProcessResources.CONNECTION_BYTES + requestBytes + readBytes + replyBytes + pending, phase())
    }

    /** Reads on after a pause. */
    fun resumeReading() {
        if (!isPaused) return
        isPaused = false
        channel.config().isAutoRead = true
    }

    /** Gives back the memory: refuses a request that is still being read, and closes the connection. */
    fun giveUp() {
        val canRespond = currentReply == null && !isClosing && pendingBytes() == 0L
        if (isReading && canRespond) refuse(HttpResponseStatus.SERVICE_UNAVAILABLE) else close()
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
        body.clear()
        partialHeadBytes = RequestHeadSize.of(request.headers().size(), decoder?.headBytes ?: 0)
        val length = if (HttpUtil.isContentLengthSet(request)) HttpUtil.getContentLength(request) else -1
        if (length > service.limits.maxBodyBytes) return refuseTooLarge(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        bodyLength = length.toInt()
        refresh()
        if (!memory.admitsHead(partialHeadBytes)) {
            memory.refused(CallerRefusal.HEAD_TOO_LARGE_NOW)
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
        }
    }

    private fun readContent(content: HttpContent) {
        val request = partialRequest ?: return
        if (body.size + content.content().readableBytes() > service.limits.maxBodyBytes) {
            return refuseTooLarge(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        body.append(content.content(), bodyLength)
        if (content !is LastHttpContent) return
        partialRequest = null
        val complete = CallerRequest(request, body.take(), requestStartNanos, partialHeadBytes)
        partialHeadBytes = 0
        pipelined.addLast(complete)
        requestBytes += complete.heldBytes
        resumeReading()
        if (pipelined.size > MAX_PIPELINED) return refuse(HttpResponseStatus.TOO_MANY_REQUESTS)
        if (pipelined.size > 1 && requestBytes > MAX_PIPELINED_BYTES) return refuseSentAhead()
        // Runs after all available bytes have been read, so that a caller that disconnected after its request is noticed before.
        channel.eventLoop().execute { serveNext() }
    }

    private fun serveNext() {
        if (currentReply != null || isClosing || !channel.isActive) return
        val request = pipelined.removeFirstOrNull()
        if (request == null) {
            if (!isReading) renewDecoder()
            return refresh()
        }
        val reply = Reply(request)
        currentReply = reply
        try {
            reply.exchange = service.serve(request, reply)
        } catch (e: Throwable) {
            // Otherwise the connection would wait forever for a response, and an error would end the event loop.
            fail(e)
        }
        refresh()
    }

    /** Gives back the buffer for long lines, and lets changed limits apply. */
    private fun renewDecoder() {
        val current = decoder ?: return
        if (current.isInsideMessage) return
        if (current.scratchBytes == 0 && current.maxHeaderBytes == service.limits.maxHeaderBytes) return
        val next = CallerDecoder(service.limits.maxHeaderBytes)
        channel.pipeline().replace(current, null, next)
        decoder = next
    }

    /** Stops reading until there is room for the rest; requests behind one that is being served are refused instead. */
    private fun limitReading() {
        if (currentReply != null || pipelined.isNotEmpty()) {
            if (partialRequest != null && body.size > 0) refuseSentAhead()
        } else if (!memory.mayRead(holder, restBytes())) {
            isPaused = true
            channel.config().isAutoRead = false
        }
    }

    /** Bytes that the rest of the request takes, or a part of it if the caller does not state its length. */
    private fun restBytes(): Int =
        when {
            partialRequest == null -> UNKNOWN_REST_BYTES
            bodyLength >= 0 -> maxOf(0, bodyLength - body.heldBytes)
            else -> minOf(maxOf(UNKNOWN_REST_BYTES, body.size), service.limits.maxBodyBytes - body.size)
        }

    /** Drops the requests behind the one that is being served. None of them runs, and the response before them closes the connection. */
    private fun refuseSentAhead() {
        memory.refused(CallerRefusal.SENT_AHEAD)
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
    }

    private fun phase(): HolderPhase =
        when {
            currentReply != null -> if (channel.isWritable) HolderPhase.SERVING else HolderPhase.WRITING
            pipelined.isNotEmpty() -> HolderPhase.SERVING
            isReading -> HolderPhase.READING
            pendingBytes > 0 -> HolderPhase.WRITING
            else -> HolderPhase.IDLE
        }

    /** Bytes of responses that the caller has not taken yet. */
    private fun pendingBytes(): Long = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    private fun fail(cause: Throwable) {
        memory.onConnectionFailed(cause)
        close()
    }

    private fun release() {
        if (isReleased) return
        isReleased = true
        isClosing = true
        timer?.cancel(false)
        partialRequest = null
        dropWaiting()
        memory.remove(holder)
        onClosed(this)
    }

    private fun dropWaiting() {
        pipelined.clear()
        requestBytes = currentReply?.heldBytes ?: 0
        partialHeadBytes = 0
        body.clear()
    }

    private fun refuseMalformed(cause: Throwable) {
        if (cause !is TooLongFrameException) return refuse(HttpResponseStatus.BAD_REQUEST)
        val wasRaised = headLimit < service.limits.maxHeaderBytes
        refuseTooLarge(if (wasRaised) HttpResponseStatus.SERVICE_UNAVAILABLE else HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
    }

    /** Refuses with the final [status], or asks the caller to retry while the limits in force may be others. */
    private fun refuseTooLarge(status: HttpResponseStatus): Unit =
        refuse(if (service.areLimitsConfirmed) status else HttpResponseStatus.SERVICE_UNAVAILABLE)

    /**
     * Refuses a request that cannot be read and closes the connection. While an earlier request is served, [status] is not sent
     * and the connection closes after the response to the earlier one.
     */
    private fun refuse(status: HttpResponseStatus) {
        isClosing = true
        partialRequest = null
        dropWaiting()
        resumeReading()
        refresh()
        if (currentReply != null) {
            currentReply?.closesAfterReply = true
            return
        }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS)
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
                hasNoRequest -> limits.idleTimeout.toNanos() - (now - idleSinceNanos)
                else -> limits.idleTimeout.toNanos()
            }
        if (left <= 0) {
            if (hasNoRequest) close() else refuse(HttpResponseStatus.REQUEST_TIMEOUT)
            return
        }
        val wait = minOf(left, limits.headerTimeout.toNanos()) + TIMER_SLACK_NANOS
        timer = channel.eventLoop().schedule({ checkTimeouts() }, wait, TimeUnit.NANOSECONDS)
    }

    private inner class Reply(
        private val request: CallerRequest,
    ) : CallerReply {
        var exchange: CallerExchange? = null
        var closesAfterReply = !HttpUtil.isKeepAlive(request.head)
        val heldBytes: Long = request.heldBytes

        /** Bytes of the response that are held until it may be sent. */
        var bufferedBytes = 0
            private set
        private var done = false

        fun onDisconnected() {
            if (done) return
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
            finish(channel.writeAndFlush(response))
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
            if (done) return
            channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
            if (pendingBytes > 0 || pendingBytes() > 0) refresh()
        }

        override fun onBuffered(bytes: Int) {
            bufferedBytes = bytes
            if (!done) refresh()
        }

        override fun end() {
            if (done) return
            finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
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

        /** Serves the next request once this response is [sent]; a caller that does not read would make responses pile up. */
        private fun finish(sent: ChannelFuture) {
            done = true
            currentReply = null
            requestBytes -= heldBytes
            idleSinceNanos = clock.monotonicNanos()
            if (closesAfterReply) {
                isClosing = true
                sent.addListener(ChannelFutureListener.CLOSE)
            } else {
                sent.addListener { channel.eventLoop().execute { serveNext() } }
            }
            refresh()
        }
    }

    private companion object {
        const val NO_CONTENT = 204

        /** Requests that may wait on one connection while an earlier one is served. */
        const val MAX_PIPELINED = 16

        /** Bytes of these requests; a single one may be larger. */
        const val MAX_PIPELINED_BYTES = 1_024 * 1_024

        /** Part of a body of unknown length for which room is asked at once. */
        const val UNKNOWN_REST_BYTES = 64 * 1_024

        /** Memory of a request in work beside its head and body, with the connection to its upstream. */
        const val EXCHANGE_BYTES = 8 * 1_024

        /** Time in which stalled callers are closed and requests in work end. */
        const val RETRY_AFTER_SECONDS = 1

        /** Added to each timer, so that one that fires slightly early is not set again at once. */
        const val TIMER_SLACK_NANOS = 5_000_000L
    }
}
