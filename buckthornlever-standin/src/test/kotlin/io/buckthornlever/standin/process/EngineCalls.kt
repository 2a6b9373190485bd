package io.buckthornlever.standin.process

import io.buckthornlever.standin.connection.TestAnswer
import io.buckthornlever.standin.connection.TestClient
import io.buckthornlever.standin.request.TokenText
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** Calls to one engine stand-in. */
internal class EngineCalls(
    private val engine: EngineStandIn,
    readTimeout: Duration = Duration.ofSeconds(30),
) {
    val client = TestClient({ engine.url }, readTimeout)

    fun body(
        prompt: String,
        id: String,
        tokens: Int,
        extra: String,
    ) = """{"prompt":"$prompt","request_id":"$id","max_tokens":$tokens,"seed":7$extra}"""

    fun complete(
        prompt: String,
        id: String = "r1",
        tokens: Int = 8,
        extra: String = "",
    ): TestAnswer = client.call("POST", "/v1/completions", body(prompt, id, tokens, extra))

    fun stream(
        prompt: String,
        id: String = "r1",
        tokens: Int = 8,
        extra: String = "",
    ): TestAnswer = complete(prompt, id, tokens, ""","stream":true$extra""")

    /** Runs [call] on another thread; the result says whether it failed. */
    fun inBackground(call: () -> TestAnswer): CompletableFuture<Result<TestAnswer>> {
        val result = CompletableFuture<Result<TestAnswer>>()
        Thread { result.complete(runCatching(call)) }.start()
        return result
    }

    fun awaitInFlight(count: Int) = awaitUntil { engine.inFlight == count }

    fun resume(
        prompt: String,
        count: Int,
    ): String = (0 until count).joinToString(",", ""","resume_tokens":[""", "]") { "\"${TokenText.token(prompt, 7, it)}\"" }

    companion object {
        const val ENDLESS = 10_000_000

        fun words(
            name: String,
            count: Int,
        ) = (1..count).joinToString(" ") { "$name$it" }

        /** The test's timeout bounds the wait. */
        fun awaitUntil(condition: () -> Boolean) {
            while (!condition()) Thread.onSpinWait()
        }

        fun JsonObject.text() = this["choices"]!!.jsonArray[0].jsonObject["text"]!!.jsonPrimitive.content
    }
}
