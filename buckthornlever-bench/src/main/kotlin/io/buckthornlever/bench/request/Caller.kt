package io.buckthornlever.bench.request

import io.buckthornlever.bench.process.SiteLayout
import io.buckthornlever.bench.process.SiteTables
import io.buckthornlever.standin.request.TokenText
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.put
import okhttp3.ConnectionPool
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import java.util.concurrent.TimeUnit

/** Makes calls as a client account does and compares each answer with the one that the stand-ins must give. */
internal class Caller(
    private val layout: SiteLayout,
) {
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .connectionPool(ConnectionPool(MAX_IDLE, IDLE_SECONDS, TimeUnit.SECONDS))
            .readTimeout(READ_TIMEOUT)
            .build()

    /** Makes one call of [kind] to [baseUrl], the entry instance with number [instance]. */
    fun call(
        kind: CallKind,
        instance: Int,
        baseUrl: String,
        random: SplittableRandom,
    ): CallRecord =
        when (kind) {
            CallKind.LONG_STREAM -> model(kind, instance, baseUrl, random, stream = true)
            CallKind.BRIEF -> model(kind, instance, baseUrl, random, stream = false)
            CallKind.NON_REPEATABLE -> plain(
                kind,
                instance,
                baseUrl,
                layout.nonRepeatablePaths[random.nextInt(layout.nonRepeatablePaths.size)],
                random,
            )
            CallKind.LOOKUP -> plain(kind, instance, baseUrl, layout.lookupPaths[random.nextInt(layout.lookupPaths.size)], random)
        }

    private fun model(
        kind: CallKind,
        instance: Int,
        baseUrl: String,
        random: SplittableRandom,
        stream: Boolean,
    ): CallRecord {
        val prompt = prompt(random, if (stream) LONG_PROMPT_WORDS else BRIEF_PROMPT_WORDS)
        val seed = random.nextInt(Int.MAX_VALUE).toLong()
        val tokens = if (stream) random.nextInt(MIN_LONG_TOKENS, MAX_LONG_TOKENS) else BRIEF_TOKENS
        val body =
            buildJsonObject {
                put("model", if (stream) layout.longModel else layout.briefModel)
                put("prompt", prompt)
                put("seed", seed)
                put("max_tokens", tokens)
                put("stream", stream)
            }
        val request =
            request(baseUrl, "/v1/completions", random)
                .post(body.toString().toRequestBody("application/json".toMediaType()))
                .build()
        val expected = TokenText.answer(prompt, seed, tokens)
        return send(kind, instance, null, "/v1/completions", request) {
            if (stream) {
                streamedText(it) == expected
            } else {
                wholeText(it) ==
                    expected
            }
        }
    }

    private fun plain(
        kind: CallKind,
        instance: Int,
        baseUrl: String,
        path: String,
        random: SplittableRandom,
    ): CallRecord {
        val key = "key-" + java.lang.Long.toHexString(random.nextLong())
        return plain(kind, instance, baseUrl, path, key, random)
    }

    /** Sends the non-repeatable call of [earlier] again with the same key, as a caller does that does not know its outcome. */
    fun resend(
        earlier: CallRecord,
        instance: Int,
        baseUrl: String,
        random: SplittableRandom,
    ): CallRecord = plain(earlier.kind, instance, baseUrl, earlier.path, earlier.key.orEmpty(), random)

    private fun plain(
        kind: CallKind,
        instance: Int,
        baseUrl: String,
        path: String,
        key: String,
        random: SplittableRandom,
    ): CallRecord {
        val builder = request(baseUrl, "$path/item", random, key.hashCode()).header("X-Standin-Key", key)
        if (kind ==
            CallKind.NON_REPEATABLE
        ) {
            builder.header("Idempotency-Key", key).post("{}".toRequestBody("application/json".toMediaType()))
        }
        return send(kind, instance, key, path, builder.build()) { response ->
            val json = Json.parseToJsonElement(response.body.string()) as? JsonObject
            (json?.get("key") as? JsonPrimitive)?.contentOrNull == key
        }
    }

    private fun request(
        baseUrl: String,
        path: String,
        random: SplittableRandom,
        accountHash: Int = random.nextInt(),
    ): Request.Builder =
        Request
            .Builder()
            .url(baseUrl + path)
            .header("Authorization", "Bearer " + SiteTables.apiKey(Math.floorMod(accountHash, SiteLayout.ACCOUNT_WEIGHTS.size)))

    private fun send(
        kind: CallKind,
        instance: Int,
        key: String?,
        path: String,
        request: Request,
        isWhole: (Response) -> Boolean,
    ): CallRecord {
        val startedAt = Instant.now()
        val start = System.nanoTime()
        var status = 0
        var executed: String? = null
        var whole = false
        var detail = ""
        try {
            client.newCall(request).execute().use { response ->
                status = response.code
                if (response.isSuccessful) {
                    whole = isWhole(response)
                    if (!whole) detail = "answer is incomplete or wrong"
                } else {
                    detail = response.body.string()
                    executed = executedOf(detail)
                }
            }
        } catch (e: IOException) {
            detail = e.toString()
        }
        val elapsed = Duration.ofNanos(System.nanoTime() - start)
        return CallRecord(kind, instance, key, path, startedAt, elapsed, status, executed, status in SUCCESS, whole, detail)
    }

    private fun executedOf(body: String): String? =
        try {
            ((Json.parseToJsonElement(body) as? JsonObject)?.get("executed") as? JsonPrimitive)?.contentOrNull
        } catch (e: IllegalArgumentException) {
            null
        }

    private fun streamedText(response: Response): String {
        val text = StringBuilder()
        response.body.charStream().buffered().forEachLine { line ->
            if (line.startsWith(DATA) && line != "$DATA[DONE]") text.append(textOf(line.substring(DATA.length)))
        }
        return text.toString()
    }

    private fun wholeText(response: Response): String = textOf(response.body.string())

    private fun textOf(json: String): String {
        val choice = ((Json.parseToJsonElement(json) as? JsonObject)?.get("choices") as? JsonArray)?.firstOrNull() as? JsonObject
        return (choice?.get("text") as? JsonPrimitive)?.contentOrNull.orEmpty()
    }

    // Prompts of one course share a long prefix, as lesson packets share their recipe context.
    private fun prompt(
        random: SplittableRandom,
        words: Int,
    ): String {
        val course = random.nextInt(COURSES)
        val shared = (0 until words).joinToString(" ") { "c$course-w$it" }
        return "$shared question ${random.nextInt()}"
    }

    private companion object {
        const val DATA = "data: "
        const val COURSES = 12
        const val LONG_PROMPT_WORDS = 200
        const val BRIEF_PROMPT_WORDS = 30
        const val MIN_LONG_TOKENS = 40
        const val MAX_LONG_TOKENS = 200
        const val BRIEF_TOKENS = 8
        const val MAX_IDLE = 64
        const val IDLE_SECONDS = 10L
        val READ_TIMEOUT: Duration = Duration.ofSeconds(20)
        val SUCCESS = 200..299
    }
}
