package io.buckthornlever.http.connection

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.mapBoth
import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.connection.UpstreamRequest
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.standin.process.RawHttpServer
import io.buckthornlever.standin.process.RepeatingServer
import io.buckthornlever.standin.process.ResponseCopy
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards against a response that cannot be told from the copy of an earlier one on the same connection. */
internal class ReusedConnectionTest {
    @Test
    fun `a service that does not identify its responses gets no call on a reused connection`() {
        val failures =
            ResponseCopy.entries.mapNotNull { copy ->
                RepeatingServer(RawHttpServer.response("200 OK", "first"), copy) { _, n ->
                    RawHttpServer.response("200 OK", "done $n")
                }.use {
                    val client = HttpUpstreamClient()
                    val seen = (0..2).map { number -> call(client, it.url, number) }
                    if (seen == listOf("first", "done 0", "done 1")) null else "$copy: $seen"
                }
            }
        assertEquals(emptyList(), failures)
    }

    @Test
    fun `a service that identifies its responses gets the next call on the same connection`() {
        RawHttpServer { it.write(identified(it)) }.use { server ->
            val client = HttpUpstreamClient()
            repeat(5) { assertEquals("ok", call(client, server.url, it)) }
            // The first call shows that the service identifies its responses; the second opens the connection that is kept.
            assertEquals(2, server.connections)
        }
    }

    @Test
    fun `a response without the id on a reused connection is no answer and ends the reuse`() {
        RawHttpServer { it.write(if ("/4" in it.requestLine) RawHttpServer.response("404 Not Found") else identified(it)) }.use { server ->
            val client = HttpUpstreamClient()
            repeat(4) { assertEquals("ok", call(client, server.url, it)) }
            assertIs<UpstreamError.Malformed>(client.call(upstream(server.url), request(4)).getError())
            repeat(2) { assertEquals("ok", call(client, server.url, 5 + it)) }
            assertEquals(4, server.connections)
        }
    }

    private fun identified(request: RawHttpServer.ReceivedRequest): String =
        RawHttpServer.response("200 OK", "ok", "X-Request-Id: ${request.headers["x-request-id"]}")

    private fun call(
        client: HttpUpstreamClient,
        url: String,
        number: Int,
    ): String =
        client.call(upstream(url), request(number)).mapBoth(
            { response -> response.use { it.body.readAllBytes().decodeToString() } },
            { it.toString() },
        )

    private fun request(number: Int): UpstreamRequest =
        UpstreamRequest(RequestId("r-$number"), "GET", "/$number", emptyList(), ByteArray(0), 2_000, 1_000, mayReuseConnection = true)

    private fun upstream(url: String): UpstreamSpec = UpstreamSpec(UpstreamId("u"), url, FailureDomain("a"), VersionLabel("v1"))
}
