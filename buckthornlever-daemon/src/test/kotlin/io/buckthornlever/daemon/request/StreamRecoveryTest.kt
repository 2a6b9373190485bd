package io.buckthornlever.daemon.request

import io.buckthornlever.daemon.process.DaemonHarness
import io.buckthornlever.standin.process.EngineStandIn
import io.buckthornlever.standin.request.TokenText
import okhttp3.Response
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class StreamRecoveryTest {
    private fun body(
        prompt: String,
        tokens: Int,
        stream: Boolean = true,
    ) = """{"model":"m","prompt":"$prompt","seed":5,"max_tokens":$tokens,"stream":$stream}"""

    private fun indexes(events: String): List<Int> =
        events.lineSequence().filter { it.startsWith("id: ") }.map { it.substringAfterLast(':').toInt() }.toList()

    // Guards against a truncated response or repeated tokens when the engine of a stream crashes.
    @Test
    fun `a crash of the engine during a stream yields the complete answer`() {
        DaemonHarness().use { harness ->
            harness.start()
            val events = harness.send(harness.completion(body("one two", 300))).use { readWithCrash(it, harness.engines) }
            assertEquals(1, harness.engines.sumOf { it.records.crashes.size })
            assertEquals(List(300) { it }, indexes(events))
            assertEquals(TokenText.answer("one two", 5, 300), streamedText(events))
            assertTrue(events.trimEnd().endsWith("data: [DONE]"))
            assertEquals(0, harness.engines.sumOf { it.records.mismatchedResumes })
        }
    }

    /** Reads the whole stream; crashes its engine after the first [TOKENS_BEFORE_CRASH] tokens. */
    private fun readWithCrash(
        response: Response,
        engines: List<EngineStandIn>,
    ): String {
        val lines = response.body.charStream().buffered()
        val text = StringBuilder()
        while (text.lineSequence().count { it.startsWith("data: {") } < TOKENS_BEFORE_CRASH) text.appendLine(lines.readLine())
        engines.first { it.inFlight > 0 }.crash()
        lines.forEachLine { text.appendLine(it) }
        return text.toString()
    }

    // Guards against a poison request that crashes one engine after another, within one submission or over several.
    @Test
    fun `a crashing request costs at most two engines over all submissions`() {
        DaemonHarness(engineCount = 4).use { harness ->
            harness.start()
            harness.engines.forEach { it.faults.crashMarker = "poison" }
            repeat(4) {
                val problem = harness.send(harness.completion(body("poison pill", 10, stream = false))).use { it.code to it.body.string() }
                assertEquals(422, problem.first, problem.second)
            }
            assertEquals(2, harness.engines.count { !it.isUp })
            assertEquals(200, harness.send(harness.completion(body("fine", 10, stream = false))).use { it.code })
        }
    }

    // Guards against unbounded retries when every attempt on a route fails.
    @Test
    fun `retries of lookups stay within the budget`() {
        DaemonHarness().use { harness ->
            harness.start()
            harness.services.forEach { it.faults.loseResponses(Int.MAX_VALUE) }
            repeat(LOOKUPS) { harness.send(harness.request("/lookups/$it")).close() }
            val attempts = harness.services.sumOf { it.records.received }
            assertTrue(attempts <= LOOKUPS + LOOKUPS / 5 + 4, "attempts: $attempts")
        }
    }

    private fun streamedText(events: String): String =
        events
            .lineSequence()
            .filter { it.startsWith("data: {") }
            .mapNotNull { ModelChunk.parse(it.removePrefix("data: ")) }
            .joinToString("") { it.text }

    private companion object {
        const val TOKENS_BEFORE_CRASH = 20
        const val LOOKUPS = 50
    }
}
