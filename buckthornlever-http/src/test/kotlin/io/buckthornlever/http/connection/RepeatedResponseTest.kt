package io.buckthornlever.http.connection

import com.github.michaelbull.result.mapBoth
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

/** Guards against the copy of a response that is taken for the response to a later request on the same connection. */
internal class RepeatedResponseTest {
    @Test
    fun `a repeated refusal is not taken for the answer to another call`() {
        assertEquals(emptyList(), failures(REFUSALS) { server, number -> call(server, number) })
    }

    @Test
    fun `a repeated load report is not taken for the answer to a call`() {
        val client = HttpUpstreamClient()
        val report = """{"running":0,"waiting":0,"capacity":8,"cold":false,"leaving":false,"measuredAt":"2026-01-01T00:00:00Z"}"""
        val firstResponses = listOf(RawHttpServer.response("200 OK", report), RawHttpServer.response("503 Service Unavailable"))
        val failures =
            failures(firstResponses) { server, number ->
                if (number == 0) client.fetchLoad(upstream(server)).toString() else call(server, number, client)
            }
        assertEquals(emptyList(), failures)
    }

    /** Makes three requests in each case; the second and the third must get their own answers and run once. */
    private fun failures(
        firstResponses: List<String>,
        send: (RepeatingServer, Int) -> String,
    ): List<String> =
        ResponseCopy.entries.flatMap { copy -> firstResponses.mapNotNull { failure(it, copy, send) } }

    private fun failure(
        first: String,
        copy: ResponseCopy,
        send: (RepeatingServer, Int) -> String,
    ): String? =
        RepeatingServer(first, copy) { _, number -> RawHttpServer.response("200 OK", "done $number") }.use { server ->
            send(server, 0)
            val seen = (1..2).map { send(server, it) } + "${server.runs} runs"
            if (seen == listOf("200 done 0", "200 done 1", "2 runs")) null else "${first.lineSequence().first()} $copy: $seen"
        }

    private fun call(
        server: RepeatingServer,
        number: Int,
        client: HttpUpstreamClient = CLIENT,
    ): String {
        val request = UpstreamRequest(RequestId("r-$number"), "POST", "/pay", emptyList(), "{}".toByteArray(), 2_000, 1_000)
        return client.call(upstream(server), request).mapBoth(
            { response -> response.use { "${it.status} ${it.body.readAllBytes().decodeToString()}" } },
            { it.toString() },
        )
    }

    private fun upstream(server: RepeatingServer): UpstreamSpec =
        UpstreamSpec(UpstreamId("u"), server.url, FailureDomain("a"), VersionLabel("v1"))

    private companion object {
        val CLIENT = HttpUpstreamClient()
        val REFUSALS =
            listOf(
                "503 Service Unavailable",
                "429 Too Many Requests",
                "421 Misdirected Request",
                "409 Conflict",
                "404 Not Found",
                "400 Bad Request",
            )
                .flatMap { listOf(RawHttpServer.response(it), RawHttpServer.response(it, "not run")) }
    }
}
