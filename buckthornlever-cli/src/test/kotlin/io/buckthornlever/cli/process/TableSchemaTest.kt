package io.buckthornlever.cli.process

import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteMatch
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.version.VersionMove
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

@OptIn(ExperimentalSerializationApi::class)
class TableSchemaTest {
    @Test
    fun `the published schema of routes names exactly the keys that the code reads`() {
        val schema = schema("routes")
        assertKeys(RouteTable.serializer(), schema)
        assertKeys(Route.serializer(), definition(schema, "route"))
        assertKeys(RouteMatch.serializer(), definition(schema, "match"))
    }

    @Test
    fun `the published schema of pools names exactly the keys that the code reads`() {
        val schema = schema("pools")
        assertKeys(PoolTable.serializer(), schema)
        assertKeys(Pool.serializer(), definition(schema, "pool"))
        assertKeys(UpstreamSpec.serializer(), definition(schema, "upstream"))
        assertKeys(VersionMove.serializer(), definition(schema, "move"))
    }

    private fun assertKeys(
        serializer: KSerializer<*>,
        schema: JsonObject,
    ) {
        assertEquals(serializer.descriptor.elementNames.toSet(), schema.getValue("properties").jsonObject.keys)
    }

    private fun definition(
        schema: JsonObject,
        name: String,
    ): JsonObject =
        schema
            .getValue("\$defs")
            .jsonObject
            .getValue(name)
            .jsonObject

    private fun schema(name: String): JsonObject =
        Json.parseToJsonElement(Files.readString(Path.of("..", "docs", "schemas", "$name.schema.json"))).jsonObject
}
