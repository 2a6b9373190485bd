package io.buckthornlever.cli.process

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Formats and parses the JSON documents that commands exchange with daemons. */
internal object JsonText {
    private val PRETTY = Json { prettyPrint = true }

    /** Returns [text] with indentation; throws [CommandFailure] if it is not valid JSON. */
    fun prettyPrint(text: String): String =
        try {
            PRETTY.encodeToString(JsonElement.serializer(), Json.parseToJsonElement(text))
        } catch (e: SerializationException) {
            throw CommandFailure(ExitCode.USAGE, "not valid JSON: ${e.message.orEmpty().lineSequence().first()}")
        }

    /** Parses [text] as a JSON object. */
    fun parseObject(text: String): JsonObject =
        Json.parseToJsonElement(text) as? JsonObject ?: throw CommandFailure(ExitCode.FAILED, "response is not a JSON object: $text")

    /** Returns the field `revision` of the response to an accepted change. */
    fun parseRevision(text: String): Long =
        (parseObject(text)["revision"] as? JsonPrimitive)?.longOrNull
            ?: throw CommandFailure(ExitCode.FAILED, "no revision in response: $text")
}
