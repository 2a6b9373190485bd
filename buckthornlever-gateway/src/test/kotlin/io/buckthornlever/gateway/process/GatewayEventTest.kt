package io.buckthornlever.gateway.process

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against events that the catalogue lacks or describes with another level or text. */
class GatewayEventTest {
    @Test
    fun `every event stands in the catalogue with its level and text`() {
        val rows =
            Files
                .readAllLines(Path.of("..", "docs", "gateway-events.md"))
                .filter { it.startsWith("| BL-") }
                .map { row -> row.split("|").map { it.trim() }.subList(1, 4) }
        assertEquals(GatewayEvent.entries.map { listOf(it.code, it.level.name, it.text) }, rows)
    }
}
