package io.buckthornlever.cli.connection

import io.buckthornlever.cli.process.CommandFailure
import io.buckthornlever.cli.process.ExitCode
import io.buckthornlever.http.connection.HttpClients
import io.buckthornlever.http.connection.SingleUseConnections
import io.buckthornlever.http.connection.boundedString
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.time.Duration

/** HTTP client for the operator API of one daemon. */
internal class OperatorClient(
    private val baseUrl: String,
    private val token: String,
) {
    // On a reused connection the copy of an earlier refusal could be taken for the answer to a change that is accepted.
    private val client =
        HttpClients
            .builder()
            .callTimeout(CALL_TIMEOUT)
            .retryOnConnectionFailure(false)
            .connectionPool(SingleUseConnections.pool())
            .build()

    fun get(path: String): Response = send(Request.Builder().url(baseUrl + path).get())

    fun post(path: String): Response = send(Request.Builder().url(baseUrl + path).post(ByteArray(0).toRequestBody()))

    /** Replaces the document at [path] if its ETag is still [etag]; creates it if [etag] is null. */
    fun put(
        path: String,
        text: String,
        etag: String?,
    ): Response {
        val request = Request.Builder().url(baseUrl + path).put(text.toByteArray().toRequestBody())
        if (etag == null) request.header("If-None-Match", "*") else request.header("If-Match", etag)
        return send(request)
    }

    private fun send(builder: Request.Builder): Response =
        try {
            client.newCall(builder.header("Authorization", "Bearer $token").build()).execute().use {
                Response(it.code, it.header("ETag"), it.body.boundedString(MAX_RESPONSE_BYTES))
            }
        } catch (e: IOException) {
            throw CommandFailure(ExitCode.FAILED, "cannot reach $baseUrl: ${e.message}")
        }

    /** Response of the daemon. */
    internal class Response(
        val status: Int,
        val etag: String?,
        val body: String,
    ) {
        /** Returns the body of a successful response; throws [CommandFailure] for any other status. */
        fun bodyOrFail(): String {
            if (status in 200..299) return body
            throw CommandFailure(ExitCode.FAILED, "the daemon refused the request with status $status: $body")
        }
    }

    private companion object {
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(10)

        /** Several times the state dump of a large site. */
        const val MAX_RESPONSE_BYTES = 64L * 1_024 * 1_024
    }
}
