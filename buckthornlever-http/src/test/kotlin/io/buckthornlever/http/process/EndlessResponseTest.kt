package io.buckthornlever.http.process

import com.github.michaelbull.result.Result
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.connection.UpstreamRequest
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.http.connection.HttpEngineControl
import io.buckthornlever.http.connection.HttpUpstreamClient
import io.buckthornlever.http.connection.boundedBytes
import io.buckthornlever.standin.process.EndlessServer
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Guards against servers that send a head or a body without end, which must not fill the memory of any client. */
class EndlessResponseTest {
    @Test
    fun `the object store client gives up`() =
        assertGivesUp { HttpObjectStore(it, Duration.ofSeconds(CALL_SECONDS)).get(ObjectKey("config/routes")) }

    @Test
    fun `the instance list client gives up`() = assertGivesUp { HttpInstanceList(it).instances() }

    @Test
    fun `the cloud client gives up`() = assertGivesUp { HttpCloudApi(it, Duration.ofSeconds(CALL_SECONDS)).instances() }

    @Test
    fun `the engine control client gives up`() =
        assertGivesUp { HttpEngineControl(Duration.ofSeconds(CALL_SECONDS)).cacheEvents(upstream(it), 0) }

    @Test
    fun `the load report client gives up`() = assertGivesUp { HttpUpstreamClient().fetchLoad(upstream(it)) }

    @Test
    fun `the head of an upstream's response is given up`() {
        EndlessServer.inHead().use { server ->
            val request =
                UpstreamRequest(RequestId("r1"), "GET", "/", emptyList(), ByteArray(0), CALL_SECONDS * 1_000, CALL_SECONDS * 1_000)
            assertTrue(HttpUpstreamClient().call(upstream(server.url), request).isErr)
            assertFewBytes(server)
        }
    }

    @Test
    fun `weights over their limit are given up`() {
        EndlessServer.inBody().use { server ->
            val response = OkHttpClient().newCall(Request.Builder().url(server.url).build()).execute()
            response.use { assertFailsWith<IOException> { it.body.boundedBytes(MAX_WEIGHT_BYTES) } }
            assertFewBytes(server)
        }
    }

    private fun assertGivesUp(call: (url: String) -> Result<*, *>) {
        for (server in listOf(EndlessServer.inHead(), EndlessServer.inBody())) {
            server.use {
                assertTrue(call(server.url).isErr)
                assertFewBytes(server)
            }
        }
    }

    private fun assertFewBytes(server: EndlessServer): Unit = assertTrue(server.sentBytes < MAX_SENT_BYTES, "${server.sentBytes} bytes")

    private fun upstream(url: String) = UpstreamSpec(UpstreamId("u1"), url, FailureDomain("a"), VersionLabel("v1"))

    private companion object {
        const val CALL_SECONDS = 5L
        const val MAX_WEIGHT_BYTES = 1_024L * 1_024

        /** The largest body that is read, and the buffers of two sockets on loopback. */
        const val MAX_SENT_BYTES = 24L * 1_024 * 1_024
    }
}
