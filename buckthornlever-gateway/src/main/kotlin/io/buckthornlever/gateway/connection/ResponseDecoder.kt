package io.buckthornlever.gateway.connection

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil

/**
 * Decodes the responses on one connection. Bytes that arrive while no request is pending belong to no request and close the connection
 * before they are decoded: an incomplete head would otherwise wait here and merge with the head of the next response.
 */
internal class ResponseDecoder(
    private val isRequestPending: () -> Boolean,
) : HttpResponseDecoder() {
    /** True if bytes have arrived that are not decoded yet. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    /** The statuses that HTTP defines; Netty parses any number, also with a sign or without leading zeros. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(STATUS.matches(initialLine[1])) { "invalid status" }
        return super.createMessage(initialLine)
    }

    /**
     * Drops an incomplete response. The server's orderly close is reported before, by a ChannelInputShutdownEvent, and then ends a response
     * without length; here the connection was reset, or closed by this process.
     */
    override fun channelInactive(context: ChannelHandlerContext) {
        context.fireChannelInactive()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (isRequestPending()) return super.channelRead(context, message)
        ReferenceCountUtil.release(message)
        context.close()
    }

    companion object {
        private val STATUS = Regex("[1-5][0-9]{2}")
        private val STATUS_LINE = Regex("""HTTP/1\.[01] \d{3}""")

        /** True if the head of [response] contains another status line, as two heads do of which the first one was cut. */
        fun isMerged(response: HttpResponse): Boolean =
            containsStatusLine(response.status().reasonPhrase()) ||
                response.headers().iteratorCharSequence().asSequence().any { containsStatusLine(it.value) }

        /** True if [text] contains the status line of a response. */
        fun containsStatusLine(text: CharSequence): Boolean = STATUS_LINE.containsMatchIn(text)
    }
}
