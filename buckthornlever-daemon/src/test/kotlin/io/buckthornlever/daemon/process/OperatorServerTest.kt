package io.buckthornlever.daemon.process

import io.buckthornlever.api.process.ObjectKey
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorServerTest {
    private val harness = DaemonHarness().start()

    @AfterAll
    fun close() = harness.close()

    @Test
    fun `health and metrics need no token but the state does`() {
        listOf("/healthz", "/readyz", "/metrics").forEach { path ->
            harness.send(harness.operator(path).removeHeader("Authorization")).use { assertEquals(200, it.code, path) }
        }
        listOf("/admin/dump", "/admin/status", "/admin/config/routes").forEach { path ->
            harness.send(harness.operator(path).header("Authorization", "Bearer wrong")).use { assertEquals(401, it.code, path) }
        }
    }

    @Test
    fun `the dump holds no secrets`() {
        val dump = harness.send(harness.operator("/admin/dump")).use { it.body.string() }
        assertContains(dump, "entry-0")
        assertFalse(dump.contains(DaemonHarness.TOKEN) || dump.contains(DaemonHarness.API_KEY) || dump.contains("apiKeySha256"))
    }

    @Test
    fun `a malformed table is refused and the one in effect stays`() {
        val before = harness.store.version(ObjectKey.ROUTES.value)
        listOf("", "{", "[]", """{"routes":[{}]}""", """{"route":[]}""").forEach { text ->
            val request = harness.operator("/admin/config/routes").put(text.toRequestBody()).header("If-Match", "\"$before\"")
            harness.send(request).use { assertEquals(400, it.code, "for '$text'") }
        }
        assertEquals(before, harness.store.version(ObjectKey.ROUTES.value))
    }

    @Test
    fun `a change based on an older revision is refused`() {
        val table = harness.send(harness.operator("/admin/config/routes")).use { it.body.string() }
        val request = harness.operator("/admin/config/routes").put(table.toRequestBody()).header("If-Match", "\"1\"")
        harness.send(request).use { assertEquals(412, it.code) }
    }

    @Test
    fun `a domain goes out and back even when the store's answer is lost`() {
        val domain = DaemonHarness.DOMAINS[1]
        harness.store.faults.loseResponses(1)
        harness.send(harness.operator("/admin/domains/$domain/take-out").post(ByteArray(0).toRequestBody())).use {
            assertEquals(200, it.code)
        }
        assertEquals(listOf(domain), harness.daemon.effectiveConfiguration.pools.domainsOut)
        harness.send(harness.operator("/admin/domains/$domain/return").post(ByteArray(0).toRequestBody())).use {
            assertEquals(200, it.code)
        }
        assertEquals(emptyList(), harness.daemon.effectiveConfiguration.pools.domainsOut)
    }

    @Test
    fun `an unknown domain is refused`() {
        harness.send(harness.operator("/admin/domains/nowhere/take-out").post(ByteArray(0).toRequestBody())).use {
            assertEquals(404, it.code)
        }
    }
}
