package io.buckthornlever.gateway.connection

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes the requests of one caller and knows how much memory that takes: of an incomplete head or trailer, of the bytes that are not
 * decoded yet and of the buffer for the longest line, which the decoder keeps.
 *
 * @property maxHeaderBytes largest head of a request
 */
internal class CallerDecoder(
    val maxHeaderBytes: Int,
) : HttpRequestDecoder(
        HttpDecoderConfig().setMaxHeaderSize(maxHeaderBytes).setMaxInitialLineLength(maxHeaderBytes).setMaxChunkSize(MAX_PART_BYTES),
    ) {
    private var partialHead: HttpMessage? = null
    private var unemittedBytes = 0
    private var undecodedBytes = 0
    private var longestHead = 0

    /** Bytes of the head that was decoded last. */
    var headBytes = 0
        private set

    /** True while part of a message is decoded that has not been passed on. */
    val isInsideMessage: Boolean get() = unemittedBytes > 0 || undecodedBytes > 0

    /** Bytes of memory that the decoder takes. */
    val heldBytes: Int
        get() {
            val lines = partialHead?.headers()?.size() ?: if (isInTrailer()) unemittedBytes / SHORTEST_LINE_BYTES else 0
            return lines * RequestHeadSize.LINE_BYTES + unemittedBytes + undecodedBytes + scratchBytes
        }

    /** Memory of the buffer for the longest line, if it is worth to be given back. */
    val scratchBytes: Int get() = if (longestHead > KEPT_LINE_BYTES) 2 * longestHead else 0

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        super.channelRead(context, message)
        undecodedBytes = if (actualReadableBytes() == 0) 0 else compact(internalBuffer())
    }

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val start = buffer.readerIndex()
        val emitted = out.size
        super.decode(context, buffer, out)
        // Bytes behind a malformed message are skipped without end.
        unemittedBytes = minOf(unemittedBytes + buffer.readerIndex() - start, 2 * maxHeaderBytes)
        if (out.size == emitted) return
        if (out[emitted] is HttpMessage) {
            headBytes = unemittedBytes
            longestHead = maxOf(longestHead, headBytes)
            partialHead = null
        }
        unemittedBytes = 0
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage = super.createMessage(initialLine).also { partialHead = it }

    private fun isInTrailer(): Boolean = unemittedBytes > SHORTEST_LINE_BYTES

    /** Reads are larger than what may be left of them; a kept rest takes no more than its size. */
    private fun compact(buffer: ByteBuf): Int {
        val readable = buffer.readableBytes()
        if (buffer.capacity() > maxOf(MIN_COMPACTED_BYTES, 2 * readable) && buffer.refCnt() == 1) {
            buffer.discardReadBytes()
            buffer.capacity(readable)
        }
        return buffer.capacity()
    }

    private companion object {
        /** Bytes of a body that are passed on at once; as many as are read at once. */
        const val MAX_PART_BYTES = 64 * 1_024

        /** Length of a name, its colon and the end of the line. */
        const val SHORTEST_LINE_BYTES = 3

        /** Usual heads of requests are shorter. */
        const val KEPT_LINE_BYTES = 4 * 1_024
        const val MIN_COMPACTED_BYTES = 512
    }
}
