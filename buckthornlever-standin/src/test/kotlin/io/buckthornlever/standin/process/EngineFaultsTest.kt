package io.buckthornlever.standin.process

import io.buckthornlever.standin.process.EngineCalls.Companion.ENDLESS
import io.buckthornlever.standin.process.EngineCalls.Companion.awaitUntil
import io.buckthornlever.standin.process.EngineCalls.Companion.text
import io.buckthornlever.standin.process.EngineCalls.Companion.words
import io.buckthornlever.standin.request.CrashCause
import io.buckthornlever.standin.request.EngineOutcome
import io.buckthornlever.standin.request.TokenText
import io.buckthornlever.standin.version.VersionFault
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import java.net.SocketTimeoutException
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

@Timeout(60)
class EngineFaultsTest {
    private val clock = SettableClock()
    private val config = EngineConfig(decodeMicrosPerToken = 200, prefillMicrosPerToken = 1, coldConcurrency = 1, warmAfterCompletions = 2)
    private val engine = EngineStandIn(config, clock = clock).start()
    private val calls = EngineCalls(engine)

    @AfterEach
    fun stop() = engine.close()

    private fun load() = calls.client.call("GET", "/v1/load").json

    @Test
    fun `a cold engine crashes above its cold capacity and returns cold on the same port`() {
        engine.setCold(true)
        val first = calls.inBackground { calls.stream("x", "r1", ENDLESS) }
        calls.awaitInFlight(1)
        assertEquals("1", load()["capacity"]!!.jsonPrimitive.content)
        assertTrue(runCatching { calls.stream("x", "r2") }.isFailure)
        assertTrue(first.get().isFailure)
        assertEquals(setOf("r1", "r2"), engine.records.crashes.single().interrupted.toSet())
        engine.restart()
        assertTrue(engine.isCold)
        repeat(2) { assertEquals(200, calls.complete("x").status) }
        assertFalse(engine.isCold)
        assertEquals(1, engine.records.crashes(CrashCause.COLD_OVERLOAD))
    }

    @Test
    fun `no connection to a crashed engine stays open and the port is free for the restart`() {
        repeat(20) {
            assertEquals(200, EngineCalls(engine).complete("x").status)
            val racing = calls.inBackground { EngineCalls(engine, Duration.ofSeconds(10)).complete("y") }
            engine.crash()
            val failure = racing.get().exceptionOrNull()
            assertFalse(failure is SocketTimeoutException)
            engine.restart(cold = false)
        }
    }

    @Test
    fun `a request with the marker kills the engine that executes it, which restarts by itself`() {
        engine.faults.crashMarker = "poison"
        engine.faults.restartAfterMillis = 0
        assertTrue(runCatching { calls.complete("some poison here") }.isFailure)
        awaitUntil { engine.records.crashes(CrashCause.MARKER) == 1 && engine.isUp }
        assertEquals(EngineOutcome.CRASHED, engine.records.executions.single().outcome)
        assertEquals(200, calls.complete("harmless").status)
    }

    @Test
    fun `a reclaimed engine announces its end and stops after the notice`() {
        engine.reclaim(Duration.ofDays(1))
        assertEquals("true", load()["leaving"]!!.jsonPrimitive.content)
        calls.complete("x")
        assertTrue(engine.records.arrivals.single().leaving)
        engine.reclaim(Duration.ZERO)
        awaitUntil { engine.records.crashes(CrashCause.RECLAIM) == 1 }
        assertFalse(engine.isUp)
    }

    @Test
    fun `a stream goes silent in the middle while a new connection works`() {
        engine.faults.silenceStreams(1)
        val impatient = EngineCalls(engine, Duration.ofMillis(300))
        assertTrue(runCatching { impatient.stream("x", "r1", 8) }.isFailure)
        assertEquals(200, calls.complete("y", "r2").status)
        awaitUntil { engine.records.executions.size == 2 }
        assertEquals(setOf(EngineOutcome.COMPLETED), engine.records.executions.map { it.outcome }.toSet())
        assertEquals(1, engine.records.silencedStreams)
    }

    @Test
    fun `connections that are open go silent while new ones work`() {
        assertEquals(200, calls.complete("x", "r1").status)
        engine.silenceOpenConnections()
        val open = calls.inBackground { calls.complete("y", "r2") }
        assertEquals(200, EngineCalls(engine).complete("z", "r3").status)
        calls.client.http.dispatcher.cancelAll()
        engine.crash()
        assertTrue(open.get().isFailure)
        assertEquals(listOf("r1", "r3"), engine.records.arrivals.map { it.requestId })
    }

    @Test
    fun `swapped and late chunks carry the id of another request`() {
        calls.complete("other", "r0")
        engine.faults.insertLateChunks(1)
        assertEquals(listOf("r1", "r1", "r0", "r1", "r1"), calls.stream("x", "r1", 4).chunks.map { it["id"]!!.jsonPrimitive.content })
        engine.faults.swapChunks(2)
        val swapped = calls.stream("x", "r2", 4).chunks
        assertEquals(listOf("r2", "r2", "r1", "r1"), swapped.map { it["id"]!!.jsonPrimitive.content })
        assertFalse(swapped.joinToString("") { it.text() } == TokenText.answer("x", 7, 4))
        assertEquals("r2", calls.complete("x", "r3").json["id"]!!.jsonPrimitive.content)
        assertEquals(4, engine.records.foreignChunks)
    }

    @Test
    fun `cache events arrive late and with gaps`() {
        engine.faults.cacheEventDelayMillis = 50
        engine.faults.cacheEventDropEvery = 2

        fun sequences(since: Int) =
            calls.client.call("GET", "/v1/cache-events?since=$since").json["events"]!!.jsonArray
                .map { it.jsonObject["seq"]!!.jsonPrimitive.int }
        listOf("a", "b", "c").forEach { calls.complete(words(it, 16), it, 1) }
        assertEquals(emptyList(), sequences(0))
        clock.millis = 50
        assertEquals(listOf(1, 3), sequences(0))
        assertEquals(listOf(3), sequences(1))
    }

    @Test
    fun `a load report lags behind`() {
        engine.faults.loadLagMillis = 100
        load()
        engine.leaving = true
        clock.millis = 99
        assertEquals("false", load()["leaving"]!!.jsonPrimitive.content)
        clock.millis = 100
        assertEquals("true", load()["leaving"]!!.jsonPrimitive.content)
    }

    @Test
    fun `a version fails under load only`() {
        engine.faults.versions.add(VersionFault(version = "v1", failureStatus = 500, minInFlight = 2))
        assertEquals(200, calls.complete("x").status)
        val open = calls.inBackground { calls.stream("x", "long", ENDLESS) }
        calls.awaitInFlight(1)
        assertEquals(500, calls.complete("x").status)
        engine.faults.versions.clear()
        assertEquals(200, calls.complete("x").status)
        calls.client.call("POST", "/v1/cancel", """{"request_id":"long"}""")
        open.get()
    }

    @Test
    fun `a version that is slow on one path ends after a later request on another path`() {
        engine.faults.versions.add(VersionFault(slowFactor = 500.0, pathPrefix = "/v1/chat"))
        val chat = """{"messages":[{"role":"user","content":"x"}],"max_tokens":20,"request_id":"slow"}"""
        val slow = calls.inBackground { calls.client.call("POST", "/v1/chat/completions", chat) }
        calls.awaitInFlight(1)
        calls.complete("x", "quick", 20)
        assertEquals(200, slow.get().getOrThrow().status)
        assertEquals(listOf("quick", "slow"), engine.records.executions.map { it.requestId })
    }
}
