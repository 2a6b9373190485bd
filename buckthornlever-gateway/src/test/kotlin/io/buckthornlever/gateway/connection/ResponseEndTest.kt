package io.buckthornlever.gateway.connection

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.standin.process.EarlyResponseServer
import io.buckthornlever.standin.process.EarlyResponseServer.End
import io.buckthornlever.standin.process.RawHttpServer
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against part of a response, or a response with an invalid status, that is taken for a complete one. */
class ResponseEndTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val pool = ConnectionPool(loop, SystemClock, Duration.ofSeconds(1))

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a reset before the last byte of the upload leaves no response`() = assertBroken(UNFRAMED, UPLOAD_BYTES)

    @Test
    fun `a reset during the last part of the upload leaves no response`() = assertBroken(UNFRAMED, 1)

    @Test
    fun `a reset after the upload leaves no response`() = assertBroken(UNFRAMED, 0)

    @Test
    fun `a reset inside a body with a length leaves no response`() = assertBroken(SHORTER_THAN_LENGTH, UPLOAD_BYTES)

    @Test
    fun `a reset inside a chunked body leaves no response`() = assertBroken(WITHOUT_LAST_CHUNK, UPLOAD_BYTES)

    @Test
    fun `an orderly close ends a body without length before, during and after the upload`() {
        for (unread in listOf(UPLOAD_BYTES, 1, 0)) {
            for (pause in PAUSES) {
                EarlyResponseServer(End.ORDERLY, unread, pause) { UNFRAMED }.use {
                    val response = assertNotNull(call(it.port).get(), "$unread bytes unread, pause of $pause ms")
                    assertEquals("part", response.body.decodeToString())
                }
            }
        }
    }

    @Test
    fun `a status outside 100 to 599 is no response`() {
        for (status in INVALID_STATUSES) {
            for (follower in listOf("", RawHttpServer.response("200 OK", "late"))) {
                RawHttpServer { it.write(RawHttpServer.response(status, "ok") + follower) }.use {
                    assertNull(call(it.url.substringAfterLast(':').toInt(), bytes = 0).get()?.status, "status $status")
                }
            }
        }
    }

    @Test
    fun `what follows a protocol switch that was not requested is no response`() {
        val head = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: odd\r\n\r\n"
        RawHttpServer { it.write(head + RawHttpServer.response("200 OK", "late")) }.use {
            assertNull(call(it.url.substringAfterLast(':').toInt(), bytes = 0).get())
        }
    }

    @Test
    fun `a response after other interim responses is one`() {
        val heads = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        RawHttpServer { it.write(heads + RawHttpServer.response("200 OK", "ok")) }.use {
            assertEquals(200, call(it.url.substringAfterLast(':').toInt(), bytes = 0).get()?.status)
        }
    }

    @Test
    fun `valid statuses are responses`() {
        for (status in listOf("200 OK", "299 Odd", "404", "599 Odd")) {
            RawHttpServer { it.write(RawHttpServer.response(status, "ok")) }.use {
                val response = call(it.url.substringAfterLast(':').toInt(), bytes = 0).get()
                assertEquals(status.take(3).toInt(), response?.status, "status $status")
            }
        }
    }

    private fun assertBroken(
        response: String,
        unread: Int,
    ) {
        repeat(ROUNDS) {
            for (pause in PAUSES) {
                EarlyResponseServer(End.RESET, unread, pause) { response }.use {
                    val result = call(it.port)
                    assertTrue(assertNotNull(result.getError(), "pause of $pause ms").mayHaveBeenSent)
                }
            }
        }
    }

    private fun call(
        port: Int,
        bytes: Int = UPLOAD_BYTES,
    ): Result<HttpCallResponse, HttpCallFailure> {
        val client = HttpCallClient(loop, pool, ServerAddress("127.0.0.1", port))
        val ended = CompletableFuture<Result<HttpCallResponse, HttpCallFailure>>()
        loop.execute { client.call(HttpMethod.POST, "/", emptyMap(), ByteArray(bytes), CALL_TIMEOUT) { ended.complete(it) } }
        return ended.get(20, TimeUnit.SECONDS)
    }

    private companion object {
        const val UPLOAD_BYTES = 16 * 1_024 * 1_024
        const val ROUNDS = 5
        const val UNFRAMED = "HTTP/1.1 200 OK\r\n\r\npart"
        const val SHORTER_THAN_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"
        const val WITHOUT_LAST_CHUNK = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"

        /** Time between a response and the end of its connection: the client reads it before, at or after the reset. */
        val PAUSES = listOf(0L, 1L, 20L)
        val INVALID_STATUSES =
            listOf(
                "000 None",
                "099 Low",
                "600 High",
                "999 High",
                "20 Short",
                "2000 Long",
                "0200 Long",
                "+200 Sign",
                "-20 Sign",
                "2x0 Odd",
                "OK",
            )
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(3)
    }
}
