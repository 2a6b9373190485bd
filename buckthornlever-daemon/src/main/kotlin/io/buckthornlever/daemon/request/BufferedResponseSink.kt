package io.buckthornlever.daemon.request

import io.buckthornlever.api.connection.Header
import io.buckthornlever.api.request.RequestError
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** Collects all tokens and responds with one JSON document. */
internal class BufferedResponseSink(
    private val exchange: CallerExchange,
    private val body: ModelBody,
) : ModelSink {
    private val text = StringBuilder()
    private var usage: JsonObject? = null

    override fun write(chunk: ModelChunk) {
        text.append(chunk.text)
        chunk.usage?.let { usage = it }
    }

    override fun complete() {
        exchange.respond(200, listOf(Header("Content-Type", "application/json")), document().toString().toByteArray())
    }

    override fun fail(error: RequestError) {
        ProblemWriter.write(exchange, error)
    }

    private fun document(): JsonObject {
        val chat = exchange.path.endsWith("/chat/completions")
        return buildJsonObject {
            put("id", exchange.id.value)
            put("object", if (chat) "chat.completion" else "text_completion")
            put("model", body.model)
            put(
                "choices",
                buildJsonArray {
                    addJsonObject {
                        put("index", 0)
                        if (chat) putJsonObject("message") { message() } else put("text", text.toString())
                        put("finish_reason", "stop")
                    }
                },
            )
            usage?.let { put("usage", it) }
        }
    }

    private fun kotlinx.serialization.json.JsonObjectBuilder.message() {
        put("role", "assistant")
        put("content", text.toString())
    }
}
