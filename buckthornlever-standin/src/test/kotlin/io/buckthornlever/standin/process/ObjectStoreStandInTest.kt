package io.buckthornlever.standin.process

import io.buckthornlever.standin.connection.TestClient
import io.buckthornlever.standin.request.StoreCall
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import java.io.IOException
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

@Timeout(60)
class ObjectStoreStandInTest {
    private val store = ObjectStoreStandIn().start()
    private val client = TestClient({ store.url })

    @AfterEach
    fun stop() = store.close()

    private fun create(
        key: String,
        value: String,
    ) = client.call("PUT", "/v1/objects/$key", value, mapOf("If-None-Match" to "*"))

    @Test
    fun `a second creation of a key is refused with the version of the first`() {
        assertEquals(201, create("once/a/b", "x").status)
        val second = create("once/a/b", "y")
        assertEquals(412 to "\"1\"", second.status to second.etag)
        assertEquals("x", client.call("GET", "/v1/objects/once/a/b").text)
    }

    @Test
    fun `an update or deletion with an old version is refused and a deleted key can be created again`() {
        create("k", "1")
        assertEquals("\"2\"", client.call("PUT", "/v1/objects/k", "2", mapOf("If-Match" to "\"1\"")).etag)
        assertEquals(412, client.call("PUT", "/v1/objects/k", "3", mapOf("If-Match" to "\"1\"")).status)
        assertEquals(412, client.call("DELETE", "/v1/objects/k", headers = mapOf("If-Match" to "\"1\"")).status)
        assertEquals(200, client.call("DELETE", "/v1/objects/k", headers = mapOf("If-Match" to "\"2\"")).status)
        assertEquals(404, client.call("GET", "/v1/objects/k").status)
        assertEquals("\"4\"", create("k", "4").etag)
    }

    @Test
    fun `a waiting watch returns the change and a deletion as null`() {
        store.put("config/routes", "a")
        val watch = CompletableFuture.supplyAsync { client.call("GET", "/v1/watch?prefix=config/&since=1&waitSeconds=20") }
        while (store.records.calls(StoreCall.WATCH) == 0) Thread.onSpinWait()
        store.put("other", "b")
        store.put("config/pools", "c")
        val changes = watch.get().json
        assertEquals("3", changes["revision"]?.jsonPrimitive?.content)
        assertEquals(listOf("config/pools"), changes["objects"]?.jsonArray?.map { it.jsonObject["key"]?.jsonPrimitive?.content })
        client.call("DELETE", "/v1/objects/config/pools", headers = mapOf("If-Match" to "3"))
        val deleted = client.call("GET", "/v1/watch?prefix=config/&since=3&waitSeconds=20").json["objects"]
        assertEquals("null", deleted?.jsonArray?.single()?.jsonObject?.get("value").toString())
        assertEquals(1, client.call("GET", "/v1/objects?prefix=config/").json["objects"]?.jsonArray?.size)
    }

    @Test
    fun `a write whose response is lost has taken effect exactly once`() {
        store.faults.loseResponses(1)
        assertFailsWith<IOException> { create("k", "v") }
        assertEquals("v", store.value("k"))
        assertEquals(1, store.records.writes.size)
        assertEquals(1, store.records.lostResponses)
    }

    @Test
    fun `an outage refuses every call without effect and ends a waiting watch`() {
        val watch = CompletableFuture.supplyAsync { client.call("GET", "/v1/watch?prefix=&since=0&waitSeconds=20") }
        while (store.records.calls(StoreCall.WATCH) == 0) Thread.onSpinWait()
        store.faults.outage = true
        assertEquals(503, watch.get().status)
        assertEquals(503, create("k", "v").status)
        assertEquals(null, store.value("k"))
    }

    @Test
    fun `values above the limit and calls above the rate are refused`() {
        assertEquals(413, create("big", "x".repeat(1_000_001)).status)
        assertEquals(201, create("fits", "x".repeat(1_000_000)).status)
        ObjectStoreStandIn(ObjectStoreConfig(writesPerSecond = 2), FixedClock).start().use { limited ->
            val other = TestClient({ limited.url })
            val statuses = (1..4).map { other.call("PUT", "/v1/objects/$it", "v", mapOf("If-None-Match" to "*")).status }
            assertEquals(listOf(201, 201, 429, 429), statuses)
            assertEquals(2, limited.records.rateLimited(StoreCall.WRITE))
        }
    }
}
