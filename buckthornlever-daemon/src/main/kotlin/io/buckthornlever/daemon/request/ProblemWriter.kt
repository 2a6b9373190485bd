package io.buckthornlever.daemon.request

import io.buckthornlever.api.connection.Header
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.RequestId
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Writes errors as problem documents (RFC 9457). */
internal object ProblemWriter {
    fun write(
        exchange: CallerExchange,
        error: RequestError,
    ) {
        val headers =
            listOfNotNull(
                Header("Content-Type", "application/problem+json"),
                error.retryAfter?.let { Header("Retry-After", maxOf(1, it.toSeconds()).toString()) },
            )
        exchange.respond(error.status, headers, document(exchange.id, error).toString().toByteArray())
    }

    fun document(
        id: RequestId,
        error: RequestError,
    ): JsonObject =
        buildJsonObject {
            put("type", "about:blank")
            put("title", error.code.wireName.replace('-', ' '))
            put("status", error.status)
            put("detail", error.detail)
            put("code", error.code.wireName)
            put("executed", error.executed.wireName)
            put("requestId", id.value)
        }
}
