package io.buckthornlever.daemon.request

import io.buckthornlever.daemon.process.DaemonHarness
import io.buckthornlever.standin.process.RawHttpServer
import io.buckthornlever.standin.process.ResponseCopy
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.RequestBody.Companion.toRequestBody
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against the copy of a refusal that is taken for the answer to a later call, which runs. */
internal class RepeatedRefusalTest {
    @Test
    fun `a repeated rejection by an engine does not refuse a completion that runs`() {
        for (status in listOf("400 Bad Request", "404 Not Found", "413 Too Large", "422 Invalid")) {
            for (copy in listOf(ResponseCopy.WHILE_IDLE, ResponseCopy.BEFORE_ANSWER, ResponseCopy.IN_PIECES, ResponseCopy.AFTER_ANSWER)) {
                assertEquals(listOf(200, 200), completions(status, copy), "$status $copy")
            }
        }
    }

    @Test
    fun `a repeated refusal by a full engine does not run a completion twice`() {
        for (status in listOf("503 Busy", "429 Busy")) {
            for (copy in listOf(ResponseCopy.WHILE_IDLE, ResponseCopy.BEFORE_ANSWER, ResponseCopy.IN_PIECES)) {
                RefusingServer(status, copy).use { server ->
                    DaemonHarness(engineUrl = server.url).use { harness ->
                        harness.start()
                        assertEquals(200, complete(harness), "$status $copy")
                        assertEquals(1, server.runs, "$status $copy")
                    }
                }
            }
        }
    }

    @Test
    fun `a repeated refusal by a service is not given as the outcome of a payment that runs`() {
        for (status in listOf("503 Busy", "429 Busy", "400 Bad Request", "421 Misdirected Request")) {
            for (copy in listOf(ResponseCopy.WHILE_IDLE, ResponseCopy.BEFORE_ANSWER, ResponseCopy.IN_PIECES)) {
                RefusingServer(status, copy).use { server ->
                    DaemonHarness(serviceUrl = server.url).use { harness ->
                        harness.start()
                        pay(harness, "k0")
                        assertEquals(200, pay(harness, "k1"), "$status $copy")
                        assertEquals(200, pay(harness, "k1"), "$status $copy, replayed")
                        assertEquals(1, server.runs, "$status $copy")
                    }
                }
            }
        }
    }

    private fun completions(
        status: String,
        copy: ResponseCopy,
    ): List<Int> =
        RefusingServer(status, copy).use { server ->
            DaemonHarness(engineUrl = server.url).use { harness ->
                harness.start()
                complete(harness)
                List(2) { complete(harness) }
            }
        }

    private fun complete(harness: DaemonHarness): Int =
        harness.send(harness.completion("""{"model":"m","prompt":"one","seed":5,"max_tokens":1}""")).use { it.code }

    private fun pay(
        harness: DaemonHarness,
        key: String,
    ): Int {
        val body = "{}".toRequestBody("application/json".toMediaType())
        return harness.send(harness.request("/payments/1").header("Idempotency-Key", key).post(body)).use { it.code }
    }

    /** Upstream that refuses its first call with [status] and sends that refusal again at the time of [copy]. */
    private class RefusingServer(
        status: String,
        private val copy: ResponseCopy,
    ) : AutoCloseable {
        private val refusal = RawHttpServer.response(status)
        private val server = RawHttpServer(::respond)
        private var refused: RawHttpServer.ReceivedRequest? = null

        @Volatile
        var runs = 0
            private set

        val url: String get() = server.url

        override fun close() = server.close()

        private fun respond(request: RawHttpServer.ReceivedRequest) {
            if ("/v1/load" in request.requestLine) request.write(RawHttpServer.response("200 OK", LOAD)) else call(request)
        }

        @Synchronized
        private fun call(request: RawHttpServer.ReceivedRequest) {
            val earlier = refused
            if (earlier == null) {
                refused = request
                request.write(if (copy == ResponseCopy.WHILE_IDLE) refusal + refusal else refusal)
                return
            }
            val isFirstRun = ++runs == 1
            if (isFirstRun && copy == ResponseCopy.BEFORE_ANSWER) earlier.writeUnlessClosed(refusal)
            if (isFirstRun && copy == ResponseCopy.IN_PIECES) earlier.writeInPieces(refusal)
            request.write(answer(request))
            if (isFirstRun && copy == ResponseCopy.AFTER_ANSWER) earlier.writeUnlessClosed(refusal)
        }

        private fun answer(request: RawHttpServer.ReceivedRequest): String {
            if ("/v1/completions" !in request.requestLine) return RawHttpServer.response("200 OK", "{}")
            val id = request.headers["x-request-id"]
            val chunk = """data: {"id":"$id","choices":[{"index":0,"text":"a"}],"token_index":0}"""
            return RawHttpServer.response("200 OK", "$chunk\n\ndata: [DONE]\n\n", "Content-Type: text/event-stream")
        }
    }

    private companion object {
        const val LOAD = """{"running":0,"waiting":0,"capacity":8,"cold":false,"leaving":false,"measuredAt":"2026-01-01T00:00:00Z"}"""
    }
}
