package io.buckthornlever.daemon.process

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.buckthornlever.api.process.ConfigurationError
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class SettingsParserTest {
    private val minimal =
        """
        {"site":"pecan-row","instance":{"id":"entry-1","failureDomain":"tx-central-a"},
         "platform":{"objectStoreUrl":"http://127.0.0.1:1","instanceListUrl":"http://127.0.0.1:2"},
         "keys":{"operatorTokenFile":"/tmp/a","peerKeyFile":"/tmp/b"}}
        """

    @Test
    fun `a minimal file gets the defaults`() {
        val settings = SettingsParser.parse(minimal).get()!!
        assertEquals("entry-1", settings.instance.id.value)
        assertEquals(Duration.ofSeconds(20), settings.shutdownGrace)
        assertEquals(0, settings.listen.callerPort)
    }

    @Test
    fun `every problem is reported with its path`() {
        val text =
            """
            {"site":7,"instance":{"id":"e"},"listen":{"callerPort":70000,"port":1},
             "platform":{"objectStoreUrl":"store","instanceListUrl":"http://127.0.0.1:2/"},
             "keys":{"operatorTokenFile":"/tmp/a","peerKeyFile":"/tmp/b"},"shutdownGraceMillis":"20"}
            """
        val error = assertIs<ConfigurationError.Invalid>(SettingsParser.parse(text).getError())
        val expected =
            listOf(
                "instance.failureDomain",
                "listen.callerPort",
                "listen.port",
                "platform.instanceListUrl",
                "platform.objectStoreUrl",
                "shutdownGraceMillis",
                "site",
            )
        assertEquals(expected, error.findings.map { it.path })
    }

    @Test
    fun `the published example is accepted`() {
        val text = Files.readString(Path.of("..", "docs", "examples", "settings.json"))
        assertEquals(8082, SettingsParser.parse(text).get()?.listen?.peerPort)
    }

    @Test
    fun `text that is no JSON object is malformed`() {
        listOf("", "{", "[]", "1", "null").forEach {
            assertIs<ConfigurationError.Malformed>(SettingsParser.parse(it).getError(), "for '$it'")
        }
    }
}
