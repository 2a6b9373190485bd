package io.buckthornlever.daemon.request

import io.buckthornlever.api.connection.Header
import io.buckthornlever.api.request.RequestError
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.io.OutputStream

/** Sends tokens as server-sent events; the event id is the point from which a caller can resume. */
internal class SseSink(
    private val exchange: CallerExchange,
) : ModelSink {
    private var out: OutputStream? = null

    override fun write(chunk: ModelChunk) {
        val json = JsonObject(chunk.json + ("id" to JsonPrimitive(exchange.id.value)))
        val eventId = chunk.tokenIndex?.let { "id: ${exchange.id.value}:$it\n" }.orEmpty()
        send("${eventId}data: $json\n\n")
    }

    override fun complete() {
        send("data: [DONE]\n\n")
        body().close()
    }

    override fun fail(error: RequestError) {
        if (out == null) return ProblemWriter.write(exchange, error)
        send("event: error\ndata: ${ProblemWriter.document(exchange.id, error)}\n\n")
        body().close()
    }

    private fun send(text: String) {
        val stream = body()
        stream.write(text.toByteArray())
        stream.flush()
    }

    private fun body(): OutputStream =
        out ?: exchange
            .startResponse(200, listOf(Header("Content-Type", "text/event-stream"), Header("Cache-Control", "no-cache")))
            .also { out = it }
}
