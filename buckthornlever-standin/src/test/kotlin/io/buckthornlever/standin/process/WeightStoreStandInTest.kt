package io.buckthornlever.standin.process

import io.buckthornlever.standin.connection.TestClient
import org.junit.jupiter.api.Timeout
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

@Timeout(60)
class WeightStoreStandInTest {
    @Test
    fun `downloads above the rate are refused and broken ones do not count as delivered`() {
        WeightStoreStandIn(WeightStoreConfig(readsPerSecond = 3), FixedClock).start().use { store ->
            val client = TestClient({ store.url })
            client.open("GET", "/v1/weights/m/v1").use { assertContentEquals(store.content("m", "v1"), it.body.bytes()) }
            store.faults.breakDownloads = true
            assertFailsWith<IOException> { client.call("GET", "/v1/weights/m/v2") }
            store.faults.missing.add("m/v3")
            assertEquals(listOf(404, 429), listOf("v3", "v4").map { client.call("GET", "/v1/weights/m/$it").status })
            assertEquals(listOf("m/v1"), store.records.downloads)
            assertEquals(1, store.records.rateLimited)
        }
    }
}
