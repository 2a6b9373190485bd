package io.buckthornlever.gateway.connection

import com.github.michaelbull.result.onSuccess
import io.buckthornlever.core.process.ManualClock
import io.netty.buffer.Unpooled
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a pool that grows with the number of servers that have ever been there, and against needless new connections. */
class ConnectionPoolTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val clock = ManualClock()
    private val pool = ConnectionPool(loop, clock, Duration.ofSeconds(5))

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `connections to servers that get no more requests are dropped`() {
        repeat(5) { call() }
        assertEquals(5, pool.idleCount)
        clock.advance(Duration.ofSeconds(20))
        call()
        assertEquals(1, pool.idleCount)
    }

    @Test
    fun `a request with a short idle limit leaves older connections to others`() {
        // Guards against a search for an idle connection that closes every older one, each of which would have to be opened again.
        ServerSocket(0, 5, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                while (true) {
                    val socket = runCatching { server.accept() }.getOrNull() ?: break
                    thread(isDaemon = true) { socket.use { answerAll(it) } }
                }
            }
            callAtOnce(2, server.localPort, Duration.ofSeconds(4))
            clock.advance(Duration.ofSeconds(2))
            callAtOnce(1, server.localPort, Duration.ofSeconds(4))
            callAtOnce(1, server.localPort, Duration.ofSeconds(1))
            callAtOnce(2, server.localPort, Duration.ofSeconds(4))
            assertEquals(2, pool.openedCount)
        }
    }

    /** Sends [count] requests at the same time, each on a connection that has been idle for at most [maxIdle]. */
    private fun callAtOnce(
        count: Int,
        port: Int,
        maxIdle: Duration,
    ) {
        val completed = List(count) { CompletableFuture<Unit>() }
        loop.execute {
            for (call in completed) {
                pool.acquire(ServerAddress("127.0.0.1", port), maxIdle) { result ->
                    result.onSuccess { it.send(request(), Completion(call)) }
                }
            }
        }
        completed.forEach { it.get(10, TimeUnit.SECONDS) }
    }

    private fun answerAll(socket: Socket) {
        val lines = socket.getInputStream().bufferedReader()
        while (true) {
            val line = lines.readLine() ?: return
            if (line.isEmpty()) socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
        }
    }

    /** Sends one request to a server of its own. */
    private fun call() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    val lines = socket.getInputStream().bufferedReader()
                    while (!lines.readLine().isNullOrEmpty()) Unit
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
                    socket.getOutputStream().flush()
                    // The connection stays open until the pool closes it.
                    lines.read()
                }
            }
            val completed = CompletableFuture<Unit>()
            loop.execute {
                pool.acquire(ServerAddress("127.0.0.1", server.localPort), Duration.ofSeconds(4)) { result ->
                    result.onSuccess { it.send(request(), Completion(completed)) }
                }
            }
            completed.get(10, TimeUnit.SECONDS)
        }
    }

    private fun request() = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER)

    private class Completion(
        private val completed: CompletableFuture<Unit>,
    ) : ExchangeListener {
        override fun onHead(response: HttpResponse): HeadDecision = HeadDecision.ACCEPT

        override fun onData(bytes: ByteArray) = Unit

        override fun onCompleted() {
            completed.complete(Unit)
        }

        override fun onBroken(
            reason: String,
            isConnectionLost: Boolean,
        ) {
            completed.completeExceptionally(IllegalStateException(reason))
        }
    }
}
