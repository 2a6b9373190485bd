package io.buckthornlever.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.request.WorkClass
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/**
 * Body of a completions request.
 *
 * @property seed makes the answer reproducible, so that another upstream can continue it
 */
internal class ModelBody(
    private val json: JsonObject,
    val seed: Long,
) {
    val model: String? get() = (json["model"] as? JsonPrimitive)?.contentOrNull
    val stream: Boolean get() = (json["stream"] as? JsonPrimitive)?.booleanOrNull ?: false

    /** Text whose prefix an engine may have cached: the prompt, or all messages in order. */
    val prompt: String
        get() = (json["prompt"] as? JsonPrimitive)?.contentOrNull
            ?: (json["messages"] as? JsonArray)?.joinToString("\n") { content(it) }.orEmpty()

    /** Body of one attempt that continues after [tokens]. */
    fun attempt(
        id: RequestId,
        workClass: WorkClass,
        tokens: List<String>,
    ): ByteArray {
        val members = LinkedHashMap<String, JsonElement>(json)
        members["request_id"] = JsonPrimitive(id.value)
        members["stream"] = JsonPrimitive(true)
        members["seed"] = JsonPrimitive(seed)
        members["priority"] = JsonPrimitive(if (workClass == WorkClass.LONG) LONG_PRIORITY else INTERACTIVE_PRIORITY)
        if (tokens.isNotEmpty()) members["resume_tokens"] = buildJsonArray { tokens.forEach { add(JsonPrimitive(it)) } }
        return JsonObject(members).toString().toByteArray()
    }

    private fun content(message: JsonElement): String = (
        (message as? JsonObject)?.get(
            "content",
        ) as? JsonPrimitive
    )?.contentOrNull.orEmpty()

    companion object {
        private const val INTERACTIVE_PRIORITY = 0
        private const val LONG_PRIORITY = 10

        /** Parses [bytes]; [newSeed] is used when the caller gives no seed. */
        fun parse(
            bytes: ByteArray,
            newSeed: () -> Long,
        ): Result<ModelBody, RequestError> {
            val element =
                try {
                    Json.parseToJsonElement(bytes.toString(Charsets.UTF_8))
                } catch (e: SerializationException) {
                    return bad("the body is not valid JSON")
                }
            if (element !is JsonObject) return bad("the body must be a JSON object")
            if ("prompt" !in element && "messages" !in element) return bad("the body has neither 'prompt' nor 'messages'")
            val seed = (element["seed"] as? JsonPrimitive)?.longOrNull ?: newSeed()
            return Ok(ModelBody(element, seed))
        }

        private fun bad(detail: String): Result<ModelBody, RequestError> =
            Err(RequestError(ErrorCode.BAD_REQUEST, ExecutionStatus.NOT_RUN, detail))
    }
}
