package io.buckthornlever.daemon.request

import io.buckthornlever.daemon.process.DaemonHarness
import io.buckthornlever.standin.process.EngineStandIn
import io.buckthornlever.standin.request.TokenText
import kotlin.concurrent.thread
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

    // Guards against a cut, repeated or incomplete answer when the engine of a stream dies.
    @Test
    fun `a crash of the engine during a stream yields the complete answer`() {
        DaemonHarness().use { harness ->
            harness.start()
            val killer = thread { killWhenBusy(harness.engines) }
            val events = harness.send(harness.completion(body("one two", 300))).use { it.body.string() }
            killer.join()
            assertEquals(1, harness.engines.sumOf { it.records.crashes.size })
            assertEquals(List(300) { it }, indexes(events))
            assertEquals(TokenText.answer("one two", 5, 300), streamedText(events))
            assertTrue(events.trimEnd().endsWith("data: [DONE]"))
            assertEquals(0, harness.engines.sumOf { it.records.mismatchedResumes })
        }
    }

    private fun killWhenBusy(engines: List<EngineStandIn>) {
        DaemonHarness.await { engines.any { it.inFlight > 0 } }
        Thread.sleep(KILL_AFTER_MILLIS)
        engines.first { it.inFlight > 0 }.crash()
    }

    // Guards against a request that takes down every engine, and against its resubmission doing so again.
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

    // Guards against retries without limit when every attempt of a route fails.
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
        const val KILL_AFTER_MILLIS = 100L
        const val LOOKUPS = 50
    }
}
