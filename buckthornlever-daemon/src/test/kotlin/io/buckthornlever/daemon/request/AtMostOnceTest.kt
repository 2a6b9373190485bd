package io.buckthornlever.daemon.request

import io.buckthornlever.daemon.process.DaemonHarness
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.RequestBody.Companion.toRequestBody
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class AtMostOnceTest {
    private fun pay(
        harness: DaemonHarness,
        key: String,
        body: String = "{}",
    ): Pair<Int, String> {
        val request =
            harness
                .request("/payments/1")
                .header("Idempotency-Key", key)
                .header("X-Standin-Key", key)
                .post(body.toRequestBody("application/json".toMediaType()))
        return harness.send(request).use { it.code to it.body.string() }
    }

    private fun executions(
        harness: DaemonHarness,
        key: String,
    ) = harness.services.sumOf { it.records.executionsByKey[key] ?: 0 }

    // Guards against a second execution of a resubmitted call and against replaying a response for another body.
    @Test
    fun `a duplicate key executes once`() {
        DaemonHarness().use { harness ->
            harness.start()
            val first = pay(harness, "k1")
            assertEquals(200, first.first)
            assertEquals(first, pay(harness, "k1"))
            assertEquals(409, pay(harness, "k1", "{\"amount\":2}").first)
            assertEquals(1, executions(harness, "k1"))
        }
    }

    // Guards against two executions when the same key arrives twice at the same time.
    @Test
    fun `concurrent submissions of one key execute once`() {
        DaemonHarness().use { harness ->
            harness.start()
            harness.services.forEach { it.faults.delayMillis = 100 }
            val answers = List(8) { "k2" }.parallelStream().map { pay(harness, it) }.toList()
            assertEquals(1, executions(harness, "k2"))
            assertTrue(answers.all { it.first == 200 }, "answers: $answers")
        }
    }

    // Guards against a call that runs without a record while the store is down, and against a wrong "not-run" in the response.
    @Test
    fun `an outage of the store refuses as not run and nothing executes`() {
        DaemonHarness().use { harness ->
            harness.start()
            harness.store.faults.outage = true
            val refused = pay(harness, "k3")
            assertEquals(503, refused.first)
            assertTrue("\"executed\":\"not-run\"" in refused.second && "store-unavailable" in refused.second, refused.second)
            assertEquals(0, executions(harness, "k3"))
            harness.store.faults.outage = false
            assertEquals(200, pay(harness, "k3").first)
            assertEquals(1, executions(harness, "k3"))
        }
    }

    // Guards against a refusal or a second execution when the store's response to the write of the record is lost.
    @Test
    fun `a lost response of the store is read back`() {
        DaemonHarness().use { harness ->
            harness.start()
            harness.store.faults.loseResponses(1)
            assertEquals(200, pay(harness, "k4").first)
            assertEquals(200, pay(harness, "k4").first)
            assertEquals(1, executions(harness, "k4"))
        }
    }

    // Guards against a second execution after the service's response is lost, which leaves the outcome unknown.
    @Test
    fun `an unknown outcome stays unknown for resubmissions`() {
        DaemonHarness().use { harness ->
            harness.start()
            harness.services.forEach { it.faults.loseResponses(1) }
            repeat(2) {
                val answer = pay(harness, "k5")
                assertEquals(504, answer.first)
                assertTrue("\"executed\":\"unknown\"" in answer.second, answer.second)
            }
            assertEquals(1, executions(harness, "k5"))
        }
    }
}
