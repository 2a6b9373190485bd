package io.buckthornlever.daemon.request

import io.buckthornlever.daemon.process.DaemonHarness
import io.buckthornlever.standin.request.TokenText
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.TestInstance
import java.net.InetSocketAddress
import java.net.Socket
import java.net.URI
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RequestPipelineTest {
    private val harness = DaemonHarness().start()

    @AfterAll
    fun close() = harness.close()

    @Test
    fun `a stream arrives whole and ends with DONE`() {
        val body = """{"model":"m","prompt":"one two three","seed":5,"max_tokens":12,"stream":true}"""
        val text = harness.send(harness.completion(body)).use { it.body.string() }
        assertEquals(TokenText.answer("one two three", 5, 12), streamedText(text))
        assertTrue(text.trimEnd().endsWith("data: [DONE]"))
    }

    @Test
    fun `a stream continues on another engine when connections go silent`() {
        harness.engines.forEach { it.faults.silenceStreams(1) }
        val body = """{"model":"m","prompt":"four five six","seed":6,"max_tokens":10,"stream":true}"""
        val text = harness.send(harness.completion(body)).use { it.body.string() }
        harness.engines.forEach { it.faults.silenceStreams(0) }
        assertEquals(TokenText.answer("four five six", 6, 10), streamedText(text))
    }

    @Test
    fun `a chunk of another request never reaches the caller`() {
        harness.engines.forEach { it.faults.insertLateChunks(1) }
        val body = """{"model":"m","prompt":"seven eight","seed":7,"max_tokens":10,"stream":false}"""
        val text = harness.send(harness.completion(body)).use { it.body.string() }
        harness.engines.forEach { it.faults.insertLateChunks(0) }
        assertContains(text, TokenText.answer("seven eight", 7, 10))
    }

    @Test
    fun `the request id is echoed`() {
        harness.send(harness.request("/lookups/1").header("X-Request-Id", "abc-1")).use {
            assertEquals(200, it.code)
            assertEquals("abc-1", it.header("X-Request-Id"))
        }
    }

    @Test
    @Tag("known-red")
    fun `bad input is refused as not run with a stable code`() {
        val cases =
            listOf(
                "unauthenticated" to harness.request("/lookups/1").header("Authorization", "Bearer wrong"),
                "no-route" to harness.request("/nowhere"),
                "method-not-allowed" to harness.request("/lookups/1").delete(),
                "bad-request" to harness.completion("{"),
                "bad-request" to harness.completion("[]"),
                "bad-request" to harness.completion("""{"model":"m"}"""),
                "unsupported-media-type" to harness.completion("""{"prompt":"x"}""", "text/plain"),
                "body-too-large" to harness.completion("""{"prompt":"${"x".repeat(20_000)}"}"""),
                "bad-request" to harness.request("/payments/1").post("{}".toRequestBody()),
            )
        cases.forEach { (code, request) ->
            harness.send(request).use { response ->
                val problem = problem(response)
                assertEquals(code, text(problem, "code"))
                assertEquals("not-run", text(problem, "executed"))
                assertEquals("application/problem+json", response.header("Content-Type"))
                assertNotNull(text(problem, "requestId"))
            }
        }
    }

    @Test
    fun `a caller that closes half way through its body leaves no request open`() {
        val before = harness.engines.sumOf { it.records.arrivals.size }
        val address = URI(harness.daemon.callerUrl)
        Socket().use { socket ->
            socket.connect(InetSocketAddress(address.host, address.port))
            val head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${DaemonHarness.API_KEY}\r\n"
            socket.getOutputStream().write((head + "Content-Type: application/json\r\nContent-Length: 100\r\n\r\n{").toByteArray())
        }
        DaemonHarness.await { openRequests() == 0.0 }
        assertEquals(before, harness.engines.sumOf { it.records.arrivals.size })
    }

    private fun openRequests(): Double =
        harness
            .send(harness.operator("/metrics"))
            .use { it.body.string() }
            .lineSequence()
            .first { it.startsWith("buckthornlever_open_requests ") }
            .substringAfter(' ')
            .toDouble()

    private fun streamedText(events: String): String =
        events
            .lineSequence()
            .filter { it.startsWith("data: {") }
            .mapNotNull { ModelChunk.parse(it.removePrefix("data: ")) }
            .joinToString("") { it.text }

    private fun problem(response: Response): JsonObject = Json.parseToJsonElement(response.body.string()) as JsonObject

    private fun text(
        problem: JsonObject,
        key: String,
    ): String? = (problem[key] as? JsonPrimitive)?.content
}
