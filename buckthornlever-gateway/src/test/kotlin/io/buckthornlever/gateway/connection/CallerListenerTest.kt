package io.buckthornlever.gateway.connection

import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.api.serving.CallerLimits
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against serving requests whose callers have already disconnected. The event loop is blocked while the callers connect
 * and leave, as it is after a start or a pause of the instance.
 */
class CallerListenerTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val served = CopyOnWriteArrayList<String>()
    private val stayingServed = CountDownLatch(1)
    private val listener = CallerListener(loop, RecordingService(), SystemClock, TestLimits.on(loop))
    private val port = listener.listen(ServerAddress("127.0.0.1", 0))

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a request whose caller has left before it was read is not served`() {
        val loopBlocked = CountDownLatch(1)
        loop.execute { loopBlocked.await(10, TimeUnit.SECONDS) }
        repeat(20) { call("/left$it").close() }
        val staying = call("/stayed")
        loopBlocked.countDown()
        assertTrue(stayingServed.await(10, TimeUnit.SECONDS))
        staying.use { assertTrue(it.getInputStream().bufferedReader().readLine().startsWith("HTTP/1.1 200")) }
        assertEquals(listOf("/stayed"), served)
    }

    private fun call(path: String): Socket =
        Socket(InetAddress.getLoopbackAddress(), port).apply {
            getOutputStream().write("POST $path HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi".encodeToByteArray())
            getOutputStream().flush()
        }

    private inner class RecordingService : CallerService {
        override val draining = false
        override val limits = CallerLimits()

        override fun serve(
            request: CallerRequest,
            reply: CallerReply,
        ): CallerExchange {
            served.add(request.head.uri())
            reply.respond(HttpResponseStatus.OK, DefaultHttpHeaders(), ByteArray(0))
            if (request.head.uri() == "/stayed") stayingServed.countDown()
            return object : CallerExchange {
                override fun onCallerDisconnected() = Unit

                override fun onWritabilityChanged(writable: Boolean) = Unit
            }
        }
    }
}
