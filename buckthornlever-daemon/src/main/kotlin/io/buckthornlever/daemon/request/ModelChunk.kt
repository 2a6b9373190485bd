package io.buckthornlever.daemon.request

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/** A chunk of a model engine's event stream. */
internal class ModelChunk private constructor(
    val json: JsonObject,
) {
    val id: String? get() = (json["id"] as? JsonPrimitive)?.contentOrNull
    val tokenIndex: Int? get() = (json["token_index"] as? JsonPrimitive)?.intOrNull
    val usage: JsonObject? get() = json["usage"] as? JsonObject
    val text: String get() = choice?.let { member(it, "text") ?: (it["delta"] as? JsonObject)?.let { d -> member(d, "content") } }.orEmpty()

    /** This chunk without its token index, for an event that carries no token and so is no point to resume from. */
    fun withoutTokenIndex(): ModelChunk = ModelChunk(JsonObject(json - "token_index"))

    private val choice: JsonObject? get() = (json["choices"] as? JsonArray)?.firstOrNull() as? JsonObject

    private fun member(
        parent: JsonObject,
        name: String,
    ): String? = (parent[name] as? JsonPrimitive)?.contentOrNull

    companion object {
        /** Parses the data of one event; returns null when it is not a JSON object. */
        fun parse(data: String): ModelChunk? =
            try {
                (Json.parseToJsonElement(data) as? JsonObject)?.let(::ModelChunk)
            } catch (e: SerializationException) {
                null
            }
    }
}
