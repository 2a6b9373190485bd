package io.buckthornlever.http.connection

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.buckthornlever.api.connection.CacheEvent
import io.buckthornlever.api.connection.EngineOrder
import io.buckthornlever.api.connection.EngineOrderKind
import io.buckthornlever.api.connection.KvHandle
import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.version.VersionLabel
import mockwebserver3.MockResponse
import mockwebserver3.MockWebServer
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HttpEngineControlTest {
    private val server = MockWebServer().apply { start() }
    private val control = HttpEngineControl()
    private val upstream = UpstreamSpec(UpstreamId("u"), "http://127.0.0.1:${server.port}", FailureDomain("d"), VersionLabel("v"))

    @AfterEach
    fun close() = server.close()

    private fun enqueueResponse(
        status: Int,
        body: String = "{}",
    ) = server.enqueue(MockResponse.Builder().code(status).body(body).build())

    @Test
    fun `an order carries fencing token and request id, and an outdated token is refused`() {
        enqueueResponse(409)
        val order = EngineOrder(3, EngineOrderKind.SET_VERSION, "course", "v2", "engine/9")
        assertEquals(UpstreamError.Refused(409, null), control.order(upstream, order).getError())
        val sent = server.takeRequest().body?.utf8().orEmpty()
        assertTrue(""""fencing":3""" in sent && """"requestId":"engine/9"""" in sent && """"kind":"set-version"""" in sent, sent)
    }

    @Test
    fun `cancelling a request that has ended succeeds`() {
        enqueueResponse(404)
        assertEquals(Unit, control.cancel(upstream, RequestId("r")).get())
    }

    @Test
    fun `an exported handle and cache events are read`() {
        enqueueResponse(200, """{"kv_handle":"h"}""")
        enqueueResponse(200, """{"next":2,"events":[{"seq":2,"kind":"stored","blocks":["b"]}]}""")
        assertEquals(KvHandle("h"), control.exportKv(upstream, RequestId("r")).get())
        assertEquals(listOf(CacheEvent(2, "stored", listOf("b"))), control.cacheEvents(upstream, 1).get())
    }
}
