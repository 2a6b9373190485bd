package io.buckthornlever.gateway.connection

import io.buckthornlever.api.serving.CallerLimits
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.serving.CallerMemoryBudget
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against oversized requests, mixed-up responses on one connection and disconnects of callers that go unnoticed. */
class CallerConnectionTest {
    private val service = RecordingService()
    private val closed = ArrayList<CallerConnection>()
    private val clock = ManualClock()
    private val memory = CallerMemory(CallerMemoryBudget(LIMIT_BYTES), EmbeddedChannel().eventLoop(), clock)
    private val connection = CallerConnection(service, clock, memory, closed::add)
    private val channel = EmbeddedChannel(CallerDecoder(200), HttpResponseEncoder(), connection)

    @Test
    fun `requests sent ahead are answered one after another`() {
        receive("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        assertEquals(listOf("/a"), service.requests.map { it.head.uri() })
        service.answer("first")
        assertEquals(listOf("/a", "/b"), service.requests.map { it.head.uri() })
        service.answer("second")
        val sent = sent()
        assertTrue(sent.indexOf("first") in 0 until sent.indexOf("second"))
    }

    @Test
    fun `a body beyond the limit is refused before it is read`() {
        receive("POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n")
        assertTrue(sent().startsWith("HTTP/1.1 413 "))
        assertTrue(service.requests.isEmpty())
        assertFalse(channel.isOpen)
    }

    @Test
    fun `chunks beyond the limit are refused`() {
        receive("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n${"x".repeat(101)}\r\n")
        assertTrue(sent().startsWith("HTTP/1.1 413 "))
        assertTrue(service.requests.isEmpty())
    }

    @Test
    fun `a head beyond the limit is refused`() {
        receive("GET /a HTTP/1.1\r\nX: ${"x".repeat(300)}\r\n\r\n")
        assertTrue(sent().startsWith("HTTP/1.1 431 "))
    }

    @Test
    fun `bytes that are no request are refused`() {
        receive("nonsense\r\n\r\n")
        assertTrue(sent().startsWith("HTTP/1.1 400 "))
        assertTrue(service.requests.isEmpty())
    }

    @Test
    fun `a caller that leaves is noticed while its request is in work`() {
        receive("GET /a HTTP/1.1\r\n\r\n")
        channel.close()
        assertTrue(service.isCallerGone)
        assertEquals(listOf(connection), closed)
    }

    @Test
    fun `answers ask to close the connection while the process drains`() {
        service.draining = true
        receive("GET /a HTTP/1.1\r\n\r\n")
        service.answer("last")
        assertTrue(sent().contains("connection: close"))
        assertFalse(channel.isOpen)
    }

    @Test
    fun `a broken answer does not look complete`() {
        receive("GET /a HTTP/1.1\r\n\r\n")
        service.reply().start(HttpResponseStatus.OK, DefaultHttpHeaders())
        service.reply().write("part".encodeToByteArray())
        service.reply().abort()
        val sent = sent()
        assertTrue(sent.contains("part"))
        assertFalse(sent.contains("0\r\n\r\n"))
        assertFalse(channel.isOpen)
    }

    private fun receive(text: String) {
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.US_ASCII))
        channel.runPendingTasks()
    }

    private fun sent(): String {
        channel.runPendingTasks()
        return generateSequence { channel.readOutbound<ByteBuf>() }.joinToString("") { it.toString(Charsets.US_ASCII) }
    }

    private inner class RecordingService : CallerService {
        val requests = ArrayList<CallerRequest>()
        private val replies = ArrayList<CallerReply>()
        var isCallerGone = false
        override var draining = false
        override val limits = CallerLimits(maxBodyBytes = 100)

        override fun serve(
            request: CallerRequest,
            reply: CallerReply,
        ): CallerExchange {
            requests.add(request)
            replies.add(reply)
            return object : CallerExchange {
                override fun onCallerDisconnected() {
                    isCallerGone = true
                }

                override fun onWritabilityChanged(writable: Boolean) = Unit
            }
        }

        fun reply(): CallerReply = replies.last()

        fun answer(body: String) {
            reply().respond(HttpResponseStatus.OK, DefaultHttpHeaders(), body.encodeToByteArray())
            channel.runPendingTasks()
        }
    }

    private companion object {
        const val LIMIT_BYTES = 1_000_000L
    }
}
