package io.buckthornlever.daemon.request

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/** One chunk of an engine's stream. */
internal class ModelChunk private constructor(
    val json: JsonObject,
) {
    val id: String? get() = (json["id"] as? JsonPrimitive)?.contentOrNull
    val tokenIndex: Int? get() = (json["token_index"] as? JsonPrimitive)?.intOrNull
    val usage: JsonObject? get() = json["usage"] as? JsonObject
    val text: String get() = choice?.let { member(it, "text") ?: (it["delta"] as? JsonObject)?.let { d -> member(d, "content") } }.orEmpty()

    /** The same chunk for an event without a token, from which no caller can resume. */
    fun withoutTokenIndex(): ModelChunk = ModelChunk(JsonObject(json - "token_index"))

    private val choice: JsonObject? get() = (json["choices"] as? JsonArray)?.firstOrNull() as? JsonObject

    private fun member(
        parent: JsonObject,
        name: String,
    ): String? = (parent[name] as? JsonPrimitive)?.contentOrNull

    companion object {
        /** Parses the data of one event; null when it is not a JSON object. */
        fun parse(data: String): ModelChunk? =
            try {
                (Json.parseToJsonElement(data) as? JsonObject)?.let(::ModelChunk)
            } catch (e: SerializationException) {
                null
            }
    }
}
