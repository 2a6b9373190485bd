package io.buckthornlever.standin.connection

import io.buckthornlever.api.connection.LoadReport
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** JSON of the external interfaces; members with default values are present. */
internal object WireJson {
    private val json = Json { encodeDefaults = true }

    fun of(report: LoadReport): JsonElement = json.encodeToJsonElement(LoadReport.serializer(), report)
}
