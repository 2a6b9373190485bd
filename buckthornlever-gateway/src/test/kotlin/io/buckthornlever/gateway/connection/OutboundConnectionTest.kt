package io.buckthornlever.gateway.connection

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against responses that look complete but are not, and against bytes of one response that reach another request. */
class OutboundConnectionTest {
    private val idle = ArrayList<OutboundConnection>()
    private val connection = OutboundConnection(ServerAddress("127.0.0.1", 1), idle::add)
    private val channel = EmbeddedChannel(HttpRequestEncoder(), connection.decoder, connection)
    private val listener = RecordingListener()

    @Test
    fun `a whole answer frees the connection for the next request`() {
        send()
        receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok")
        assertEquals("head 200, ok, ended", listener.text())
        assertEquals(listOf(connection), idle)
        assertEquals(5, connection.keepAliveTimeout?.seconds)
    }

    @Test
    fun `an answer shorter than its length is broken`() {
        send()
        receive("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok")
        closeOrderly()
        assertTrue(listener.text().endsWith("broken"))
    }

    @Test
    fun `chunks without the last one are broken`() {
        send()
        receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
        closeOrderly()
        assertTrue(listener.text().endsWith("broken"))
    }

    @Test
    fun `an answer without length ends with its connection`() {
        send()
        receive("HTTP/1.1 200 OK\r\n\r\nok")
        closeOrderly()
        assertEquals("head 200, ok, ended", listener.text())
        assertFalse(channel.isOpen)
        assertTrue(idle.isEmpty())
    }

    @Test
    fun `an answer without length is not ended by a close on this side`() {
        send()
        receive("HTTP/1.1 200 OK\r\n\r\nok")
        channel.close()
        assertEquals("head 200, ok, broken", listener.text())
    }

    @Test
    fun `an answer without length that is reset is broken`() {
        send()
        receive("HTTP/1.1 200 OK\r\n\r\nok")
        channel.pipeline().fireExceptionCaught(IOException("Connection reset"))
        assertTrue(listener.text().endsWith("broken"))
    }

    @Test
    fun `bytes beyond an answer close the connection`() {
        send()
        receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        receive("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
        assertFalse(channel.isOpen)
        assertEquals("head 200, ok, ended", listener.text())
    }

    @Test
    fun `bytes in the same read as the end of an answer close the connection`() {
        send()
        receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 ")
        assertFalse(channel.isOpen)
        assertEquals("head 200, ok, ended", listener.text())
        assertTrue(idle.isEmpty())
    }

    @Test
    fun `an incomplete head on an idle connection closes it`() {
        send()
        receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        receive("HTTP/1.1 200 ")
        assertFalse(channel.isOpen)
    }

    @Test
    fun `a head with a second status line inside breaks the exchange`() {
        send()
        receive("HTTP/1.1 200 OK\r\nContent-Type: text/plHTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nok")
        assertEquals("broken", listener.text())
    }

    @Test
    fun `bytes that are no answer break the exchange`() {
        send()
        receive("garbage without end\r\n\r\n")
        closeOrderly()
        assertTrue(listener.text().endsWith("broken"))
    }

    @Test
    fun `a skipped answer is dropped with its body`() {
        listener.decisions.addAll(listOf(HeadDecision.SKIP, HeadDecision.ACCEPT))
        send()
        receive("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
        assertEquals("head 200, head 200, new, ended", listener.text())
    }

    @Test
    fun `an idle connection that the server closes is closed`() {
        send()
        receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        closeOrderly()
        assertFalse(channel.isOpen)
        assertEquals("head 200, ok, ended", listener.text())
    }

    @Test
    fun `an invalid status breaks the exchange`() {
        send()
        receive("HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assertEquals("broken", listener.text())
        assertFalse(channel.isOpen)
    }

    @Test
    fun `an interim answer is not the answer`() {
        send()
        receive("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assertEquals("head 200, ok, ended", listener.text())
    }

    @Test
    fun `a server that asks to close is not used again`() {
        send()
        receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
        assertTrue(idle.isEmpty())
    }

    @Test
    fun `a connection excludes a request that was refused on it and no other`() {
        send()
        receive("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        connection.exclude("r1")
        assertFalse(connection.allows("r1"))
        assertTrue(connection.allows("r2"))
        assertTrue(channel.isOpen)
    }

    @Test
    fun `a connection that refuses many requests is closed`() {
        send()
        receive("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        repeat(100) { connection.exclude("r$it") }
        assertFalse(channel.isOpen)
    }

    private fun send() = connection.send(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), listener)

    private fun closeOrderly() {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
    }

    private fun receive(text: String) {
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.US_ASCII))
    }

    private class RecordingListener : ExchangeListener {
        val decisions = ArrayDeque<HeadDecision>()
        private val events = ArrayList<String>()

        override fun onHead(response: HttpResponse): HeadDecision {
            events.add("head ${response.status().code()}")
            return decisions.removeFirstOrNull() ?: HeadDecision.ACCEPT
        }

        override fun onData(bytes: ByteArray) {
            events.add(bytes.decodeToString())
        }

        override fun onCompleted() {
            events.add("ended")
        }

        override fun onBroken(
            reason: String,
            isConnectionLost: Boolean,
        ) {
            events.add("broken")
        }

        fun text(): String = events.joinToString()
    }
}
