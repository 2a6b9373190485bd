package io.buckthornlever.http.process

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.buckthornlever.api.process.CloudInstanceKind
import io.buckthornlever.api.process.CloudNotice
import io.buckthornlever.api.process.CloudStartRequest
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.PlatformError
import io.buckthornlever.api.version.VersionLabel
import mockwebserver3.MockResponse
import mockwebserver3.MockWebServer
import mockwebserver3.SocketEffect
import org.junit.jupiter.api.AfterEach
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class HttpCloudApiTest {
    private val server = MockWebServer().apply { start() }
    private val url = "http://127.0.0.1:${server.port}"
    private val cloud = HttpCloudApi(url, Duration.ofSeconds(2))
    private val request = CloudStartRequest("models/7", FailureDomain("d0"), "large", CloudInstanceKind.ON_DEMAND)

    @AfterEach
    fun close() = server.close()

    private fun enqueueResponse(
        status: Int,
        body: String = "",
    ) = server.enqueue(MockResponse.Builder().code(status).setHeader("Retry-After", "3").body(body).build())

    @Test
    fun `a start request carries the request id and the instance kind in wire format`() {
        enqueueResponse(
            201,
            """{"id":"i-1","requestId":"models/7","failureDomain":"d0","machineClass":"large","kind":"on-demand","state":"starting"}""",
        )
        assertEquals("i-1" to "models/7", cloud.start(request).get()?.let { it.id to it.requestId })
        val sent = server.takeRequest().body?.utf8().orEmpty()
        assertTrue(""""requestId":"models/7"""" in sent && """"kind":"on-demand"""" in sent, sent)
    }

    @Test
    fun `a refused start is distinguished from one with an unknown outcome`() {
        enqueueResponse(409)
        assertIs<PlatformError.Refused>(cloud.start(request).getError())
        server.enqueue(MockResponse.Builder().onRequestBody(SocketEffect.CloseSocket()).build())
        assertIs<PlatformError.Unavailable>(cloud.start(request).getError())
        // The server may record a request whose connection it closes only after the client has seen the close.
        repeat(2) { assertNotNull(server.takeRequest(5, TimeUnit.SECONDS), "request $it") }
        assertNull(server.takeRequest(200, TimeUnit.MILLISECONDS), "no retry by the HTTP client")
    }

    @Test
    fun `stopping an instance that no longer exists succeeds`() {
        enqueueResponse(404)
        assertEquals(Unit, cloud.stop("i-1").get())
    }

    @Test
    fun `notices are read from the given position`() {
        enqueueResponse(200, """{"next":5,"notices":[{"seq":5,"instanceId":"i-1","failureDomain":"d0","endsAt":"2026-01-01T00:00:00Z"}]}""")
        assertEquals(listOf(CloudNotice(5, "i-1", "2026-01-01T00:00:00Z")), cloud.notices(4).get())
        assertEquals("/v1/cloud/notices?since=4", server.takeRequest().target)
    }

    @Test
    fun `the Retry-After of the weight store is passed on`() {
        enqueueResponse(429)
        val error = HttpWeightStore(url).fetch("course", VersionLabel("v1")).getError()
        assertEquals(PlatformError.RateLimited(Duration.ofSeconds(3)), error)
    }
}
