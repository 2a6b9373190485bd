package io.buckthornlever.standin.request

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** A parsed completion or chat completion request. */
internal data class CompletionRequest(
    val id: String,
    val path: String,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val seed: Long,
    val priority: Int,
    val stream: Boolean,
    val resumeTokens: List<String>,
    val kvHandle: String?,
) {
    val isChat: Boolean
        get() = path.endsWith("/chat/completions")

    companion object {
        private const val DEFAULT_MAX_TOKENS = 16

        /** Null when the body has no prompt or a member of the wrong type. */
        fun parse(
            path: String,
            attemptId: String?,
            body: JsonObject,
        ): CompletionRequest? {
            val prompt = (if (path.endsWith("/chat/completions")) chatPrompt(body) else body.text("prompt")) ?: return null
            val id = attemptId ?: body.text("request_id") ?: return null
            return CompletionRequest(
                id = id,
                path = path,
                model = body.text("model").orEmpty(),
                prompt = prompt,
                maxTokens = body.primitive("max_tokens")?.intOrNull ?: DEFAULT_MAX_TOKENS,
                seed = body.primitive("seed")?.longOrNull ?: 0,
                priority = body.primitive("priority")?.intOrNull ?: 0,
                stream = body.primitive("stream")?.booleanOrNull ?: false,
                resumeTokens = (body["resume_tokens"] as? JsonArray).orEmpty().map { (it as JsonPrimitive).content },
                kvHandle = body.text("kv_handle"),
            )
        }

        private fun chatPrompt(body: JsonObject): String? {
            val messages = body["messages"] as? JsonArray ?: return null
            return TokenText.chatPrompt(
                messages.filterIsInstance<JsonObject>().map { it.text("role").orEmpty() to it.text("content").orEmpty() },
            )
        }

        private fun JsonObject.primitive(name: String): JsonPrimitive? = this[name] as? JsonPrimitive

        private fun JsonObject.text(name: String): String? = primitive(name)?.contentOrNull
    }
}
