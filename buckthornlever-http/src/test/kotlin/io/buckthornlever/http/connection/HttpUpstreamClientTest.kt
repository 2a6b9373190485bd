package io.buckthornlever.http.connection

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.connection.UpstreamRequest
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.version.VersionLabel
import mockwebserver3.MockResponse
import mockwebserver3.MockWebServer
import mockwebserver3.SocketEffect
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HttpUpstreamClientTest {
    private val server = MockWebServer().apply { start() }
    private val client = HttpUpstreamClient()
    private val upstream = UpstreamSpec(UpstreamId("u"), "http://127.0.0.1:${server.port}", FailureDomain("a"), VersionLabel("v1"))

    @AfterEach
    fun close() = server.close()

    @Test
    fun `a refused connection is reported as not sent`() {
        server.close()
        assertIs<UpstreamError.NotSent>(client.call(upstream, request()).getError())
    }

    @Test
    fun `a connection that breaks after the request is never reported as not sent`() {
        server.enqueue(MockResponse.Builder().onResponseStart(SocketEffect.ShutdownConnection).build())
        assertIs<UpstreamError.Broken>(client.call(upstream, request()).getError())
        assertEquals(1, server.requestCount)
    }

    @Test
    fun `a request that fails on a pooled connection is not retried by the HTTP client`() {
        // The connection is kept from the second call on, when the server is known to identify its responses.
        repeat(2) {
            server.enqueue(MockResponse.Builder().setHeader("X-Request-Id", "r-1").body("ok").build())
            client.call(upstream, request(mayReuseConnection = true)).get()!!.use { it.body.readAllBytes() }
        }
        server.enqueue(MockResponse.Builder().onResponseStart(SocketEffect.ShutdownConnection).build())
        server.enqueue(MockResponse.Builder().body("second run").build())
        assertIs<UpstreamError.Broken>(client.call(upstream, request(mayReuseConnection = true)).getError())
        assertEquals(3, server.requestCount)
    }

    @Test
    fun `a progress timeout is distinguished from a broken connection`() {
        server.enqueue(MockResponse.Builder().onResponseStart(SocketEffect.Stall).build())
        assertIs<UpstreamError.Silent>(client.call(upstream, request()).getError())
    }

    @Test
    fun `an invalid URL is reported as not sent`() {
        val bad = UpstreamSpec(UpstreamId("u"), "http://", FailureDomain("a"), VersionLabel("v1"))
        assertIs<UpstreamError.NotSent>(client.call(bad, request()).getError())
    }

    private fun request(mayReuseConnection: Boolean = false): UpstreamRequest =
        UpstreamRequest(
            RequestId("r-1"),
            "POST",
            "/pay",
            emptyList(),
            "{}".toByteArray(),
            timeoutMillis = 5_000,
            progressTimeoutMillis = 300,
            mayReuseConnection = mayReuseConnection,
        )
}
