package io.buckthornlever.standin.request

import io.buckthornlever.standin.connection.Exchange
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.TimeUnit

/** Writes the progress of one job as server-sent events or as one JSON answer. */
internal class CompletionWriter(
    private val exchange: Exchange,
    private val job: EngineJob,
    private val disturbance: StreamDisturbance,
) {
    private val request = job.request
    private var checkedAt = System.nanoTime()

    /**
     * Writes until the job ends or the connection is silent; false when the client has closed the connection before.
     * The engine does not learn of the end of a silent connection.
     */
    fun write(): Boolean = (if (request.stream) stream() else whole()) || exchange.isSilenced

    private fun stream(): Boolean {
        exchange.context.res().apply {
            status = 200
            contentType = "text/event-stream"
        }
        val output = exchange.context.res().outputStream
        return try {
            output.flush()
            exchange.context.res().flushBuffer()
            relay(output)
        } catch (_: IOException) {
            false
        }
    }

    private fun relay(output: OutputStream): Boolean {
        var held: EngineEvent.Token? = null
        while (true) {
            val event = next() ?: return false
            if (exchange.isSilenced) return true
            when (event) {
                is EngineEvent.Token -> {
                    held?.let { send(output, it, null) }
                    held = event
                    if (event.index + 1 < request.maxTokens) {
                        if (!sendDisturbed(output, event)) return true
                        held = null
                    }
                }
                is EngineEvent.End -> {
                    if (event.outcome == EngineOutcome.CRASHED) return dropped()
                    finish(output, held, event.outcome)
                    return true
                }
            }
        }
    }

    /** False when the connection is silent from now on. */
    private fun sendDisturbed(
        output: OutputStream,
        token: EngineEvent.Token,
    ): Boolean {
        if (disturbance.silences(token.index)) {
            exchange.silence()
            return false
        }
        disturbance.lateChunk(token.index)?.let { write(output, chunk(it.id, it.text, token.index, null)) }
        send(output, token, null)
        return true
    }

    private fun finish(
        output: OutputStream,
        held: EngineEvent.Token?,
        outcome: EngineOutcome,
    ) {
        if (held != null) send(output, held, outcome) else write(output, chunk(request.id, "", job.nextIndex, outcome))
        output.write("data: [DONE]\n\n".toByteArray())
        output.flush()
    }

    private fun send(
        output: OutputStream,
        token: EngineEvent.Token,
        outcome: EngineOutcome?,
    ) {
        val foreign = disturbance.swapped(token.index)
        write(output, chunk(foreign?.id ?: request.id, foreign?.text ?: token.text, token.index, outcome))
    }

    private fun write(
        output: OutputStream,
        chunk: JsonObject,
    ) {
        output.write("data: $chunk\n\n".toByteArray())
        output.flush()
    }

    private fun chunk(
        id: String,
        text: String,
        index: Int,
        outcome: EngineOutcome?,
    ): JsonObject =
        buildJsonObject {
            put("id", id)
            put("model", request.model)
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    put("text", text)
                    if (request.isChat) putJsonObject("delta") { put("content", text) }
                    if (outcome != null) put("finish_reason", reason(outcome))
                }
            }
            put("token_index", index)
            if (outcome != null) put("usage", usage())
        }

    private fun whole(): Boolean {
        val text = StringBuilder(request.resumeTokens.joinToString(""))
        while (true) {
            when (val event = next() ?: return false) {
                is EngineEvent.Token -> {
                    if (disturbance.silences(event.index)) exchange.silence()
                    text.append(event.text)
                }
                is EngineEvent.End -> {
                    if (event.outcome == EngineOutcome.CRASHED) return dropped()
                    if (!exchange.isSilenced) answer(text.toString(), event.outcome)
                    return true
                }
            }
        }
    }

    private fun answer(
        text: String,
        outcome: EngineOutcome,
    ) {
        val foreign = disturbance.swapped(request.maxTokens)
        val content = foreign?.text ?: text
        val body =
            buildJsonObject {
                put("id", foreign?.id ?: request.id)
                put("model", request.model)
                putJsonArray("choices") {
                    addJsonObject {
                        put("index", 0)
                        put("text", content)
                        if (request.isChat) {
                            putJsonObject("message") {
                                put("role", "assistant")
                                put("content", content)
                            }
                        }
                        put("finish_reason", reason(outcome))
                    }
                }
                put("usage", usage())
            }
        exchange.answer(200, body)
    }

    /** A dead engine must not end its answers in good order, even if this thread runs before the server has stopped. */
    private fun dropped(): Boolean {
        exchange.drop()
        return true
    }

    private fun usage(): JsonObject =
        buildJsonObject {
            put("prompt_tokens", job.prompt.size)
            put("completion_tokens", job.resumed.size + job.generated)
            put("recomputed_tokens", job.recomputed)
        }

    private fun reason(outcome: EngineOutcome): String = if (outcome == EngineOutcome.COMPLETED) "length" else "cancelled"

    /** Next progress of the job; null when the client is gone. */
    private fun next(): EngineEvent? {
        while (true) {
            if (System.nanoTime() - checkedAt >= POLL_NANOS) {
                if (exchange.clientGone()) return null
                checkedAt = System.nanoTime()
            }
            job.events.poll(POLL_NANOS, TimeUnit.NANOSECONDS)?.let { return it }
        }
    }

    private companion object {
        /** Longest time until the end of a connection is noticed, also while tokens arrive but none is written. */
        const val POLL_NANOS = 20_000_000L
    }
}
