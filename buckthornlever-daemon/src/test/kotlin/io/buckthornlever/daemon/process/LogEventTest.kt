package io.buckthornlever.daemon.process

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class LogEventTest {
    @Test
    fun `every event stands in the catalogue with its level and text`() {
        val rows =
            Files
                .readAllLines(Path.of("..", "docs", "events.md"))
                .filter { it.startsWith("| BL-") }
                .map { row -> row.split("|").map { it.trim() }.subList(1, 4) }
        val events = LogEvent.entries.map { listOf(it.code, it.level.name, it.text) }
        assertEquals(events, rows)
    }
}
