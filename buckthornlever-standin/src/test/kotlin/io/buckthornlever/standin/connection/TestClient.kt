package io.buckthornlever.standin.connection

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import okhttp3.Call
import okhttp3.Headers.Companion.toHeaders
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.time.Duration

/** Blocking HTTP calls without retries, so that each call is one request. */
internal class TestClient(
    private val url: () -> String,
    readTimeout: Duration = Duration.ofSeconds(20),
) {
    val http: OkHttpClient = OkHttpClient.Builder().retryOnConnectionFailure(false).readTimeout(readTimeout).build()

    fun newCall(
        path: String,
        body: String,
    ): Call = http.newCall(Request.Builder().url(url() + path).post(body.toRequestBody()).build())

    fun open(
        method: String,
        path: String,
        body: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): Response {
        val content = body?.toRequestBody() ?: if (method == "GET" || method == "DELETE") null else "".toRequestBody()
        return http.newCall(Request.Builder().url(url() + path).method(method, content).headers(headers.toHeaders()).build()).execute()
    }

    fun call(
        method: String,
        path: String,
        body: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): TestAnswer = open(method, path, body, headers).use { TestAnswer(it.code, it.body.string(), it.header("ETag")) }
}

internal data class TestAnswer(
    val status: Int,
    val text: String,
    val etag: String?,
) {
    val json: JsonObject
        get() = Json.parseToJsonElement(text) as JsonObject

    /** JSON of each server-sent event but the last `[DONE]`. */
    val chunks: List<JsonObject>
        get() =
            text.lineSequence().filter { it.startsWith("data: {") }
                .map { Json.parseToJsonElement(it.removePrefix("data: ")) as JsonObject }.toList()
}
