package io.buckthornlever.gateway.connection

import io.buckthornlever.core.serving.StableHash
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.net.InetSocketAddress
import java.time.Duration

/**
 * One connection to a server, with at most one request at a time. A connection whose request was not written completely, or
 * that carried bytes after the response, is never reused.
 */
public class OutboundConnection internal constructor(
    private val address: ServerAddress,
    private val onIdle: (OutboundConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    /** Decoder of the responses, to be added to the pipeline ahead of this handler. */
    internal val decoder = ResponseDecoder { listener != null }
    private lateinit var channel: Channel
    private var listener: ExchangeListener? = null
    private var isRequestWritten = false
    private var isSkipping = false
    private var skippedBytes = 0
    private var interimResponses = 0
    private var isReusable = false
    private var isUsed = false

    /** Hashes of request ids, since callers choose the length of an id; a collision only costs a new connection. */
    private val excludedRequests = HashSet<Long>()

    /** True if an earlier request was sent on this connection, so that a late response to it may still arrive. */
    public var isReused: Boolean = false
        private set

    /** Time after which the server may close the idle connection; null if it has not announced one. */
    public var keepAliveTimeout: Duration? = null
        private set

    /** Monotonic time since which the connection has been idle. */
    public var idleSinceNanos: Long = 0

    /** Address of the server at the other end. */
    public val remoteAddress: ServerAddress get() = address

    /** Local port of the connection; null once it is closed. */
    public val localPort: Int? get() = (channel.localAddress() as? InetSocketAddress)?.port

    /** True while the connection is open. */
    public val isOpen: Boolean get() = channel.isActive

    // Not in channelActive: a connect listener runs before the channel counts as active.
    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Sends [request]; [listener] receives the response. */
    public fun send(
        request: FullHttpRequest,
        listener: ExchangeListener,
    ) {
        isReused = isUsed
        isUsed = true
        this.listener = listener
        isRequestWritten = false
        isReusable = false
        skippedBytes = 0
        interimResponses = 0
        // Still off if the receiver of the response before was slow to the end.
        if (!channel.config().isAutoRead) channel.config().isAutoRead = true
        channel.writeAndFlush(request).addListener { result ->
            if (result.isSuccess) isRequestWritten = true else fail("request could not be written: ${result.cause()?.message}", true)
        }
    }

    /**
     * Excludes the request [requestId], which was refused or failed here, from this connection. A copy of that response may still arrive,
     * and its id does not tell it from the response to the same request when that is sent again.
     */
    internal fun exclude(requestId: String) {
        excludedRequests.add(StableHash.of(requestId))
        if (excludedRequests.size > MAX_EXCLUDED_REQUESTS) close()
    }

    /** True if the request [requestId] may be sent on this connection. */
    internal fun allows(requestId: String): Boolean = StableHash.of(requestId) !in excludedRequests

    /** Pauses or resumes reading, as backpressure from a receiver that is slower than the server. */
    public fun setAutoRead(enabled: Boolean) {
        channel.config().isAutoRead = enabled
    }

    /** Closes the connection; a pending request gets no response and its listener receives no further calls. */
    public fun close() {
        listener = null
        channel.close()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (listener == null) {
                // Bytes after a complete response belong to no request.
                context.close()
            } else if (message is HttpObject && message.decoderResult().isFailure) {
                fail("malformed response: ${message.decoderResult().cause().message}")
            } else if (message is HttpResponse && ResponseDecoder.isMerged(message)) {
                fail("malformed response: a status line inside its head")
            } else {
                if (message is HttpResponse) handleHead(message)
                if (message is HttpContent) handleContent(message)
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ): Unit = fail(cause.message ?: cause.javaClass.simpleName, isConnectionLost = cause is IOException)

    override fun channelInactive(context: ChannelHandlerContext): Unit =
        fail("connection closed by the server", isConnectionLost = true)

    /** The server has closed its end; a response without length has been completed by that. */
    override fun userEventTriggered(
        context: ChannelHandlerContext,
        event: Any,
    ) {
        if (event === ChannelInputShutdownEvent.INSTANCE) fail("connection closed by the server", isConnectionLost = true)
    }

    private fun handleHead(response: HttpResponse) {
        if (response.status().code() < FIRST_FINAL_STATUS) {
            isSkipping = true
            if (++interimResponses > MAX_INTERIM_RESPONSES) fail("more than $MAX_INTERIM_RESPONSES interim responses")
            return
        }
        isReusable =
            HttpUtil.isKeepAlive(response) && (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        keepAliveTimeout = keepAliveTimeoutOf(response)
        when (listener?.onHead(response)) {
            HeadDecision.ACCEPT -> isSkipping = false
            HeadDecision.SKIP -> isSkipping = true
            HeadDecision.REJECT, null -> close()
        }
    }

    private fun handleContent(content: HttpContent) {
        if (isSkipping) {
            skippedBytes += content.content().readableBytes()
            if (skippedBytes > MAX_SKIPPED_BYTES) return fail("more than $MAX_SKIPPED_BYTES bytes of responses to other requests")
        } else if (content.content().isReadable) {
            listener?.onData(ByteBufUtil.getBytes(content.content()))
        }
        if (content !is LastHttpContent) return
        if (isSkipping) {
            isSkipping = false
            return
        }
        val completed = listener ?: return
        listener = null
        if (isReusable && hasNothingPending()) onIdle(this) else channel.close()
        completed.onCompleted()
    }

    /** True if the request was written completely and no bytes have arrived behind its response. */
    private fun hasNothingPending(): Boolean = isRequestWritten && channel.isActive && !decoder.hasUndecodedBytes

    private fun fail(
        reason: String,
        isConnectionLost: Boolean = false,
    ) {
        val pending = listener
        listener = null
        channel.close()
        pending?.onBroken(reason, isConnectionLost)
    }

    private fun keepAliveTimeoutOf(response: HttpResponse): Duration? =
        response
            .headers()
            .get(HttpHeaderNames.KEEP_ALIVE)
            ?.split(',')
            ?.firstNotNullOfOrNull { part -> part.trim().removePrefix("timeout=").toLongOrNull() }
            ?.let(Duration::ofSeconds)

    private companion object {
        const val FIRST_FINAL_STATUS = 200

        /** Excluded requests that a connection remembers; it is closed when there are more. */
        const val MAX_EXCLUDED_REQUESTS = 64

        /** Interim (1xx) responses accepted before the final one; servers send one or two. */
        const val MAX_INTERIM_RESPONSES = 8

        /** Bytes of late responses to earlier requests that are skipped; a new connection costs less than reading more. */
        const val MAX_SKIPPED_BYTES = 256 * 1_024
    }
}
