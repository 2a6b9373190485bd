package io.buckthornlever.cli.process

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Formats and reads the JSON documents that commands exchange with daemons. */
internal object JsonText {
    private val PRETTY = Json { prettyPrint = true }

    /** [text] with indentation. */
    fun prettyPrint(text: String): String =
        try {
            PRETTY.encodeToString(JsonElement.serializer(), Json.parseToJsonElement(text))
        } catch (e: SerializationException) {
            throw CommandFailure(ExitCode.USAGE, "not valid JSON: ${e.message.orEmpty().lineSequence().first()}")
        }

    /** The object in [text]. */
    fun parseObject(text: String): JsonObject =
        Json.parseToJsonElement(text) as? JsonObject ?: throw CommandFailure(ExitCode.FAILED, "unexpected answer: $text")

    /** The member `revision` of an accepted change. */
    fun parseRevision(text: String): Long =
        (parseObject(text)["revision"] as? JsonPrimitive)?.longOrNull ?: throw CommandFailure(ExitCode.FAILED, "unexpected answer: $text")
}
