package io.buckthornlever.gateway.connection

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.buckthornlever.api.process.SystemClock
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against servers that send bytes without end, which must not fill the memory of the process. */
class HttpCallClientTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a head without end is given up`() = assertGivenUp("HTTP/1.1 200 OK\r\n", "X-Filler: ${"x".repeat(1_000)}\r\n", isTooLarge = false)

    @Test
    fun `a body without end is given up`() = assertGivenUp("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(1_000), isTooLarge = true)

    private fun assertGivenUp(
        prefix: String,
        filler: String,
        isTooLarge: Boolean,
    ) {
        val sentBytes = AtomicLong()
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) { server.accept().use { writeEndlessly(it, prefix, filler, sentBytes) } }
            val pool = ConnectionPool(loop, SystemClock, Duration.ofSeconds(1))
            val client = HttpCallClient(loop, pool, ServerAddress("127.0.0.1", server.localPort), MAX_RESPONSE_BYTES)
            val ended = CompletableFuture<Result<HttpCallResponse, HttpCallFailure>>()
            loop.execute { client.call(HttpMethod.GET, "/", emptyMap(), null, CALL_TIMEOUT) { ended.complete(it) } }
            val failure = assertNotNull(ended.get(20, TimeUnit.SECONDS).getError())
            assertEquals(isTooLarge, failure.isTooLarge, failure.reason)
            assertTrue(failure.mayHaveBeenSent)
            assertTrue(sentBytes.get() < MAX_RESPONSE_BYTES + MAX_BUFFERED_BYTES, "${sentBytes.get()} bytes were sent")
        }
    }

    private fun writeEndlessly(
        socket: Socket,
        prefix: String,
        filler: String,
        sentBytes: AtomicLong,
    ) {
        val out = socket.getOutputStream()
        // Fails once the client has closed the connection.
        runCatching {
            out.write(prefix.encodeToByteArray())
            while (true) {
                out.write(filler.encodeToByteArray())
                sentBytes.addAndGet(filler.length.toLong())
            }
        }
    }

    private companion object {
        const val MAX_RESPONSE_BYTES = 1_024 * 1_024

        /** Bytes that the buffers of two sockets on loopback may hold. */
        const val MAX_BUFFERED_BYTES = 16L * 1_024 * 1_024
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(3)
    }
}
