package io.buckthornlever.standin.process

import io.buckthornlever.standin.connection.TestAnswer
import io.buckthornlever.standin.connection.TestClient
import io.buckthornlever.standin.request.EngineOutcome
import io.buckthornlever.standin.request.TokenText
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EngineStandInTest {
    private val engine = EngineStandIn(EngineConfig(decodeMicrosPerToken = 200, prefillMicrosPerToken = 1)).start()
    private val client = TestClient({ engine.url })

    @AfterEach
    fun stop() = engine.close()

    private fun complete(
        prompt: String,
        id: String = "r1",
        tokens: Int = 8,
        extra: String = "",
    ): TestAnswer {
        val body = """{"prompt":"$prompt","request_id":"$id","max_tokens":$tokens,"seed":7$extra}"""
        return client.call("POST", "/v1/completions", body)
    }

    private fun TestAnswer.streamText() =
        chunks.joinToString("") { it["choices"]!!.jsonArray[0].jsonObject["text"]!!.jsonPrimitive.content }

    private fun TestAnswer.usage(name: String) = chunks.last()["usage"]!!.jsonObject[name]!!.jsonPrimitive.int

    @Test
    fun `a stream carries the expected text, ascending indexes, usage and the end mark`() {
        val answer = complete("one two three", extra = ""","stream":true""")
        assertEquals(TokenText.answer("one two three", 7, 8), answer.streamText())
        assertEquals((0..7).toList(), answer.chunks.map { it["token_index"]!!.jsonPrimitive.int })
        assertEquals(listOf(3, 8, 0), listOf("prompt_tokens", "completion_tokens", "recomputed_tokens").map { answer.usage(it) })
        assertTrue(answer.text.endsWith("data: [DONE]\n\n"))
    }

    @Test
    fun `a chat answer without a stream carries the expected text`() {
        val body = """{"messages":[{"role":"user","content":"hello there"}],"max_tokens":4,"request_id":"c1"}"""
        val answer = client.call("POST", "/v1/chat/completions", body)
        val message = answer.json["choices"]!!.jsonArray[0].jsonObject["message"]!!.jsonObject
        val expected = TokenText.answer(TokenText.chatPrompt(listOf("user" to "hello there")), 0, 4)
        assertEquals(expected, message["content"]!!.jsonPrimitive.content)
    }

    @Test
    fun `a resumed stream continues with the next token`() {
        val sent = (0 until 3).joinToString(",") { "\"" + TokenText.token("one two", 7, it) + "\"" }
        val answer = complete("one two", extra = ""","stream":true,"resume_tokens":[$sent]""")
        assertEquals((3..7).toList(), answer.chunks.map { it["token_index"]!!.jsonPrimitive.int })
        assertTrue(TokenText.answer("one two", 7, 8).endsWith(answer.streamText()))
        assertEquals(0, engine.records.mismatchedResumes)
    }

    @Test
    fun `many parallel streams each get their own complete answer`() {
        val pool = Executors.newFixedThreadPool(64)
        try {
            val streams =
                (0 until 192).map { n ->
                    CompletableFuture.supplyAsync({ complete("prompt $n", "p$n", 20, ""","stream":true""") }, pool)
                }
            streams.forEachIndexed { n, stream -> assertEquals(TokenText.answer("prompt $n", 7, 20), stream.get().streamText()) }
        } finally {
            pool.shutdown()
        }
        assertEquals(192, engine.records.executions.count { it.outcome == EngineOutcome.COMPLETED })
        assertEquals(0, engine.inFlight)
    }
}
