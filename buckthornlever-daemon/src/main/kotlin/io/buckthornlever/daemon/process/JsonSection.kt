package io.buckthornlever.daemon.process

import io.buckthornlever.api.process.Finding
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** Reads one object of a settings file; collects all errors as findings instead of stopping at the first. */
internal class JsonSection(
    private val path: String,
    private val values: JsonObject,
    private val findings: MutableList<Finding>,
) {
    private val known = mutableSetOf<String>()

    fun string(
        key: String,
        default: String? = null,
    ): String {
        val value = valueOf(key) ?: return default ?: missing(key, "")
        val text = (value as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text.isNullOrBlank()) return invalid(key, "must be a non-empty string", default.orEmpty())
        return text
    }

    fun optionalString(key: String): String? {
        val value = valueOf(key) ?: return null
        if (value is JsonNull) return null
        val text = (value as? JsonPrimitive)?.takeIf { it.isString }?.content
        return text ?: invalid(key, "must be a string", null)
    }

    fun url(key: String): String = checkedUrl(key, string(key))

    fun optionalUrl(key: String): String? = optionalString(key)?.let { checkedUrl(key, it) }

    fun int(
        key: String,
        range: IntRange,
        default: Int,
    ): Int {
        val value = valueOf(key) ?: return default
        val number = (value as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull
        if (number == null || number !in range) return invalid(key, "must be a whole number from ${range.first} to ${range.last}", default)
        return number
    }

    fun long(
        key: String,
        range: LongRange,
        default: Long,
    ): Long {
        val value = valueOf(key) ?: return default
        val number = (value as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull
        if (number == null || number !in range) return invalid(key, "must be a whole number from ${range.first} to ${range.last}", default)
        return number
    }

    fun section(
        key: String,
        required: Boolean = true,
    ): JsonSection {
        val value = valueOf(key)
        if (value == null && required) missing(key, Unit)
        if (value != null && value !is JsonObject) invalid(key, "must be an object", Unit)
        return JsonSection(pathOf(key), value as? JsonObject ?: JsonObject(emptyMap()), findings)
    }

    /** Reports every key that has not been read. */
    fun refuseUnknownKeys() {
        (values.keys - known).forEach {
            findings += Finding(pathOf(it), "unknown key; known keys are ${known.sorted().joinToString(", ")}")
        }
    }

    private fun valueOf(key: String): JsonElement? {
        known += key
        return values[key]
    }

    private fun checkedUrl(
        key: String,
        text: String,
    ): String {
        if (text.isEmpty() || URL.matches(text)) return text
        return invalid(key, "must be an http or https URL without a trailing slash", text)
    }

    private fun <T> missing(
        key: String,
        default: T,
    ): T = invalid(key, "is required", default)

    private fun <T> invalid(
        key: String,
        message: String,
        default: T,
    ): T {
        findings += Finding(pathOf(key), message)
        return default
    }

    private fun pathOf(key: String): String = if (path.isEmpty()) key else "$path.$key"

    companion object {
        private val URL = Regex("https?://[^/\\s]+(/[^\\s]*[^/\\s])?")

        /** Returns the name of the type of [element] for findings. */
        fun typeName(element: JsonElement): String =
            when (element) {
                is JsonObject -> "object"
                is JsonArray -> "array"
                is JsonPrimitive -> "value"
            }
    }
}
