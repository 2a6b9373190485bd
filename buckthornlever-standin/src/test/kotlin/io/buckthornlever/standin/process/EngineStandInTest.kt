package io.buckthornlever.standin.process

import io.buckthornlever.standin.process.EngineCalls.Companion.ENDLESS
import io.buckthornlever.standin.process.EngineCalls.Companion.awaitUntil
import io.buckthornlever.standin.process.EngineCalls.Companion.text
import io.buckthornlever.standin.process.EngineCalls.Companion.words
import io.buckthornlever.standin.request.EngineOutcome
import io.buckthornlever.standin.request.TokenText
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

@Timeout(60)
class EngineStandInTest {
    private val computed = ComputedBlocks()
    private val config =
        EngineConfig(concurrency = 64, maxWaiting = 256, decodeMicrosPerToken = 200, prefillMicrosPerToken = 1, cacheBlocks = 6)
    private val engine = EngineStandIn(config, computed).start()
    private val calls = EngineCalls(engine)

    @AfterEach
    fun stop() = engine.close()

    @Test
    fun `a stream carries the expected text, ascending indexes, usage and the end mark`() {
        val answer = calls.stream("one two three")
        assertEquals(TokenText.answer("one two three", 7, 8), answer.chunks.joinToString("") { it.text() })
        assertEquals((0..7).toList(), answer.chunks.map { it["token_index"]!!.jsonPrimitive.int })
        val usage = answer.chunks.last()["usage"]!!.jsonObject.mapValues { it.value.jsonPrimitive.int }
        assertEquals(mapOf("prompt_tokens" to 3, "completion_tokens" to 8, "recomputed_tokens" to 0), usage)
        assertTrue(answer.text.endsWith("data: [DONE]\n\n"))
    }

    @Test
    fun `a chat answer without a stream carries the expected text`() {
        val body = """{"messages":[{"role":"user","content":"hello there"}],"max_tokens":4,"request_id":"c1"}"""
        val answer = calls.client.call("POST", "/v1/chat/completions", body)
        val message = answer.json["choices"]!!.jsonArray[0].jsonObject["message"]!!.jsonObject
        val expected = TokenText.answer(TokenText.chatPrompt(listOf("user" to "hello there")), 0, 4)
        assertEquals(expected, message["content"]!!.jsonPrimitive.content)
    }

    @Test
    fun `a resumed stream continues with the next token and wrong resumed tokens are recorded`() {
        val answer = calls.stream("one two", extra = calls.resume("one two", 3))
        assertEquals((3..7).toList(), answer.chunks.map { it["token_index"]!!.jsonPrimitive.int })
        assertTrue(TokenText.answer("one two", 7, 8).endsWith(answer.chunks.joinToString("") { it.text() }))
        assertEquals(0, engine.records.mismatchedResumes)
        calls.stream("one two", extra = calls.resume("other", 3))
        assertEquals(1, engine.records.mismatchedResumes)
    }

    @Test
    fun `many parallel streams each get their own complete answer`() {
        val pool = Executors.newFixedThreadPool(128)
        try {
            val streams = (0 until 256).map { n -> CompletableFuture.supplyAsync({ calls.stream("prompt $n", "p$n", 20) }, pool) }
            streams.forEachIndexed { n, stream ->
                assertEquals(TokenText.answer("prompt $n", 7, 20), stream.get().chunks.joinToString("") { it.text() })
            }
        } finally {
            pool.shutdown()
        }
        assertEquals(256, engine.records.executions.count { it.outcome == EngineOutcome.COMPLETED })
        assertEquals(0, engine.inFlight)
    }

    @Test
    fun `requests beyond batch and queue are refused`() {
        EngineStandIn(EngineConfig(concurrency = 1, maxWaiting = 1)).start().use { small ->
            val other = EngineCalls(small)
            val open = listOf("a", "b").map { id -> other.inBackground { other.stream("x", id, ENDLESS) } }
            other.awaitInFlight(2)
            assertEquals(503, other.complete("x", "c").status)
            listOf("a", "b").forEach { other.client.call("POST", "/v1/cancel", """{"request_id":"$it"}""") }
            open.forEach { it.get() }
            assertEquals(listOf(null, null, 503), small.records.arrivals.map { it.status })
        }
    }

    @Test
    fun `a cached prefix is not computed again and an evicted or foreign one counts as recomputed`() {
        val prompt = words("a", 64)
        listOf(prompt, prompt, words("b", 96), prompt).forEachIndexed { n, text -> calls.complete(text, "r$n", 1) }
        assertEquals(listOf(64, 1, 96, 64), engine.records.executions.map { it.prefilledTokens })
        assertEquals(listOf(0, 0, 0, 64), engine.records.executions.map { it.recomputedTokens })
        EngineStandIn(config, computed).start().use { second ->
            val usage = EngineCalls(second).complete(prompt, "s", 1).json["usage"]!!.jsonObject
            assertEquals(64, usage["recomputed_tokens"]!!.jsonPrimitive.int)
        }
    }

    @Test
    fun `a waiting request of higher priority starts first`() {
        EngineStandIn(config.copy(concurrency = 1)).start().use { small ->
            val other = EngineCalls(small)
            val first = other.inBackground { other.stream("x", "first", ENDLESS) }
            other.awaitInFlight(1)
            val low = other.inBackground { other.complete("x", "low", 1, ""","priority":5""") }
            other.awaitInFlight(2)
            val high = other.inBackground { other.complete("x", "high", 1, ""","priority":0""") }
            other.awaitInFlight(3)
            other.client.call("POST", "/v1/cancel", """{"request_id":"first"}""")
            listOf(first, low, high).forEach { it.get() }
            assertEquals(listOf("first", "high", "low"), small.records.executions.map { it.requestId })
        }
    }

    @Test
    fun `a cancel call ends the stream and is recorded once`() {
        val open = calls.inBackground { calls.stream("x", "r1", ENDLESS) }
        calls.awaitInFlight(1)
        assertEquals(listOf(200, 404), (1..2).map { calls.client.call("POST", "/v1/cancel", """{"request_id":"r1"}""").status })
        assertTrue(open.get().getOrThrow().text.contains("\"finish_reason\":\"cancelled\""))
        assertEquals(EngineOutcome.CANCELLED, engine.records.executions.single().outcome)
    }

    @Test
    fun `a client that closes its connection cancels streams and plain answers`() {
        for (stream in listOf(true, false)) {
            val call = calls.client.newCall("/v1/completions", calls.body("x", "d$stream", ENDLESS, ""","stream":$stream"""))
            val open = calls.inBackground { call.execute().use { error(it.body.string()) } }
            calls.awaitInFlight(1)
            call.cancel()
            calls.awaitInFlight(0)
            assertTrue(open.get().isFailure)
        }
        awaitUntil { engine.records.executions.size == 2 }
        assertEquals(listOf(EngineOutcome.DISCONNECTED, EngineOutcome.DISCONNECTED), engine.records.executions.map { it.outcome })
    }

    @Test
    fun `an imported KV cache replaces the prefill of a resumed stream`() {
        val prompt = words("a", 40)
        calls.stream(prompt, "r1", 10)
        val export = calls.client.call("POST", "/v1/kv/export", """{"request_id":"r1"}""")
        EngineStandIn(config, computed).start().use { second ->
            val other = EngineCalls(second)
            assertEquals(200, other.client.call("POST", "/v1/kv/import", export.text).status)
            val handle = ""","kv_handle":${export.json["kv_handle"]}"""
            other.stream(prompt, "r2", 10, other.resume(prompt, 5) + handle)
            assertEquals(listOf(1, 0), second.records.executions.single().let { listOf(it.prefilledTokens, it.recomputedTokens) })
            engine.crash()
            assertEquals(502, other.client.call("POST", "/v1/kv/import", export.text).status)
        }
    }

    @Test
    fun `outdated orders are refused only by an engine that honours fencing numbers`() {
        fun order(
            fencing: Int,
            version: String,
        ) = calls.client.call("POST", "/v1/orders", """{"fencing":$fencing,"kind":"load","model":"m","version":"$version"}""").status
        assertEquals(listOf(200, 409, 200), listOf(order(5, "v2"), order(4, "v3"), order(5, "v4")))
        assertEquals("v4" to true, engine.version to engine.isCold)
        engine.faults.honoursFencing = false
        assertEquals(200, order(3, "v5"))
        assertEquals(listOf(true, false, true, true), engine.records.orders.map { it.executed })
        engine.faults.loseOrderResponses(1)
        assertTrue(runCatching { order(6, "v6") }.isFailure)
        assertEquals("v6", engine.version)
    }
}
