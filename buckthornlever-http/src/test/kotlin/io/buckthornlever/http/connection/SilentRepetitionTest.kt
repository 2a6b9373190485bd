package io.buckthornlever.http.connection

import com.github.michaelbull.result.mapBoth
import io.buckthornlever.api.connection.EngineOrder
import io.buckthornlever.api.connection.EngineOrderKind
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.connection.UpstreamRequest
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.http.process.HttpObjectStore
import io.buckthornlever.standin.process.RawHttpServer
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a request that the HTTP library sends twice because its answer is 503 with `Retry-After: 0`. */
internal class SilentRepetitionTest {
    @Test
    fun `a call that is answered with Retry-After 0 is sent once`() {
        val client = HttpUpstreamClient()
        for (method in listOf("POST", "DELETE", "GET")) {
            assertSentOnce {
                val request = UpstreamRequest(RequestId("r"), method, "/pay", emptyList(), "{}".toByteArray(), 2_000, 1_000)
                val status = client.call(upstream(it), request).mapBoth({ response -> response.use { r -> r.status } }, { 0 })
                assertEquals(503, status)
            }
        }
    }

    @Test
    fun `an order that is answered with Retry-After 0 is sent once`() {
        assertSentOnce {
            HttpEngineControl().order(upstream(it), EngineOrder(3, EngineOrderKind.SET_VERSION, "course", "v2", "engine/1"))
        }
    }

    @Test
    fun `a write to the store that is answered with Retry-After 0 is sent once`() {
        assertSentOnce { HttpObjectStore(it.url).create(ObjectKey("once/a/k"), "{}") }
    }

    private fun assertSentOnce(send: (RawHttpServer) -> Unit) {
        RawHttpServer { it.write(RawHttpServer.response("503 Service Unavailable", "", "Retry-After: 0")) }.use { server ->
            send(server)
            assertEquals(1, server.received.size)
        }
    }

    private fun upstream(server: RawHttpServer): UpstreamSpec =
        UpstreamSpec(UpstreamId("u"), server.url, FailureDomain("a"), VersionLabel("v1"))
}
