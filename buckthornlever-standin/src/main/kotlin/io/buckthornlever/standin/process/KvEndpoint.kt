package io.buckthornlever.standin.process

import io.buckthornlever.standin.connection.Exchange
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.put
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException

/** KV export and import; the handle is the URL from which the importing engine fetches the cache. */
internal class KvEndpoint(
    private val config: EngineConfig,
    private val handles: KvHandles,
    private val records: EngineRecords,
    private val sequence: (String) -> List<String>?,
) : AutoCloseable {
    private val client = OkHttpClient()

    fun export(
        exchange: Exchange,
        url: String,
    ) {
        val tokens = exchange.body().text("request_id")?.let(sequence)
        if (tokens == null) {
            exchange.context.status(404)
            return
        }
        records.exported()
        val handle = "$url/v1/kv/blobs/${handles.export(tokens)}"
        exchange.answer(200, buildJsonObject { put("kv_handle", handle) })
    }

    fun blob(exchange: Exchange) {
        val tokens = handles.exported(exchange.context.pathParam("name"))
        if (tokens == null) {
            exchange.context.status(404)
        } else {
            exchange.answer(200, buildJsonArray { tokens.forEach { add(it) } })
        }
    }

    fun import(exchange: Exchange) {
        val handle = exchange.body().text("kv_handle")
        val tokens = handle?.let(::fetch)
        if (handle == null || tokens == null) {
            exchange.context.status(if (handle == null) 400 else 502)
            return
        }
        val millis = tokens.size * config.kvMicrosPerToken / MICROS_PER_MILLI
        if (millis > 0) Thread.sleep(millis)
        handles.import(handle, tokens)
        records.imported()
        val answer =
            buildJsonObject {
                put("kv_handle", handle)
                put("tokens", tokens.size)
            }
        exchange.answer(200, answer)
    }

    override fun close() {
        client.connectionPool.evictAll()
    }

    private fun fetch(handle: String): List<String>? =
        try {
            client.newCall(Request.Builder().url(handle).build()).execute().use { response ->
                if (response.code != 200) return null
                (Json.parseToJsonElement(response.body.string()) as JsonArray).map { (it as JsonPrimitive).content }
            }
        } catch (_: IOException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }

    private fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.contentOrNull

    private companion object {
        const val MICROS_PER_MILLI = 1_000
    }
}
