package io.buckthornlever.standin.process

import io.buckthornlever.standin.connection.TestClient
import io.buckthornlever.standin.version.VersionFault
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import java.io.IOException
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

@Timeout(60)
class PlainServiceStandInTest {
    private val service = PlainServiceStandIn(PlainServiceConfig(coldConcurrency = 0)).start()
    private val client = TestClient({ service.url })

    @AfterEach
    fun stop() = service.close()

    private fun charge(key: String) = client.call("POST", "/charge/1", "{}", mapOf("X-Standin-Key" to key, "X-Request-Id" to "r-$key"))

    @Test
    fun `a request whose response is lost counts as executed and a failed one before execution does not`() {
        service.faults.loseResponses(1)
        assertFailsWith<IOException> { charge("a") }
        service.faults.failBeforeExecution(1)
        assertEquals(500, charge("b").status)
        service.faults.failAfterExecution(1)
        assertEquals(500, charge("c").status)
        assertEquals(200, charge("a").status)
        assertEquals(mapOf("a" to 2, "c" to 1), service.records.executionsByKey)
        assertEquals(mapOf("r-a" to 2, "r-c" to 1), service.records.executionsByRequestId)
    }

    @Test
    fun `a silenced connection stays silent while a new one works`() {
        assertEquals(200, charge("a").status)
        service.silenceOpenConnections()
        val impatient = TestClient({ service.url })
        val sameConnection = client.http.newBuilder().readTimeout(Duration.ofMillis(200)).build()
        val request = okhttp3.Request.Builder().url(service.url + "/x").build()
        assertFailsWith<IOException> { sameConnection.newCall(request).execute() }
        assertEquals(200, impatient.call("GET", "/y").status)
        assertEquals(listOf("/charge/1", "/y"), service.records.executions.map { it.path })
    }

    @Test
    fun `a cold service crashes above its cold capacity and restarts on the same port`() {
        service.setCold(true)
        assertFailsWith<IOException> { charge("a") }
        assertFalse(service.isUp)
        assertFailsWith<IOException> { client.call("GET", "/x") }
        service.restart(cold = false)
        assertEquals(200, charge("b").status)
        assertEquals(1, service.records.crashes)
        assertEquals(mapOf("b" to 1), service.records.executionsByKey)
    }

    @Test
    fun `a version fails only under its conditions`() {
        service.faults.versions.add(VersionFault(version = "v2", failureStatus = 500, afterRequests = 1, pathPrefix = "/bad"))
        assertEquals(200, client.call("GET", "/bad").status)
        service.version = "v2"
        val statuses = listOf("/bad", "/good", "/bad").map { client.call("GET", it).status }
        assertEquals(listOf(200, 200, 500), statuses)
    }

    @Test
    fun `a leaving service says so and records work that it still gets`() {
        service.leaving = true
        assertTrue(client.call("GET", "/v1/load").text.contains("\"leaving\":true"))
        charge("a")
        assertTrue(service.records.executions.single().leaving)
    }
}
