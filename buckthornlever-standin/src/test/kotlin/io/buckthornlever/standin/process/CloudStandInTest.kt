package io.buckthornlever.standin.process

import io.buckthornlever.standin.connection.TestClient
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import java.io.IOException
import java.time.Duration
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

@Timeout(60)
class CloudStandInTest {
    private val prices = listOf(CloudPrice("a", "m", "reclaimable", 2.0), CloudPrice("b", "m", "on-demand", 6.0))
    private val cloud = CloudStandIn(CloudConfig(prices), FixedClock).start()
    private val client = TestClient({ cloud.url })

    @AfterEach
    fun stop() = cloud.close()

    private fun create(
        id: String,
        domain: String = "a",
        kind: String = "reclaimable",
    ) = client.call(
        "POST",
        "/v1/cloud/instances",
        """{"requestId":"$id","failureDomain":"$domain","machineClass":"m","kind":"$kind"}""",
    )

    @Test
    fun `a repeated request after a lost response creates no second instance`() {
        cloud.faults.loseResponses(1)
        assertFailsWith<IOException> { create("r1") }
        val repeated = create("r1")
        assertEquals(201 to "i-1", repeated.status to repeated.json["id"]!!.jsonPrimitive.content)
        assertEquals(listOf(false, true), cloud.records.creations.map { it.repeated })
        assertEquals(1, cloud.instances.size)
    }

    @Test
    fun `a refused creation leaves no instance and may succeed later`() {
        cloud.faults.refusedDomains.add("a")
        assertEquals(409, create("r1").status)
        cloud.faults.refusedDomains.clear()
        assertEquals(201, create("r1").status)
        assertEquals(400, create("r2", domain = "unknown").status)
    }

    @Test
    fun `the reclaim of a domain spares on-demand instances and is announced once`() {
        create("r1")
        create("r2", "b", "on-demand")
        assertEquals(listOf("i-1"), cloud.reclaimDomain("a", Duration.ofSeconds(5)))
        assertEquals(emptyList(), cloud.reclaimDomain("b", Duration.ofSeconds(5)))
        val notices = client.call("GET", "/v1/cloud/notices?since=0").json["notices"]!!.jsonArray
        assertEquals("1970-01-01T00:00:05Z", notices.single().jsonObject["endsAt"]!!.jsonPrimitive.content)
        assertEquals(0, client.call("GET", "/v1/cloud/notices?since=1").json["notices"]!!.jsonArray.size)
        val states = client.call("GET", "/v1/cloud/instances").json["instances"]!!.jsonArray.map {
            it.jsonObject["state"]!!.jsonPrimitive.content
        }
        assertEquals(listOf("leaving", "running"), states)
    }

    @Test
    fun `the cost counts an instance until its end`() {
        create("r1")
        create("r2", "b", "on-demand")
        cloud.reclaim("i-1", Duration.ofMinutes(30))
        assertEquals(1.0 + 12.0, cloud.cost(Instant.EPOCH.plusSeconds(7_200)))
        assertEquals(200, client.call("DELETE", "/v1/cloud/instances/i-2").status)
        assertEquals(404, client.call("DELETE", "/v1/cloud/instances/i-2").status)
        assertEquals(1.0, cloud.cost(Instant.EPOCH.plusSeconds(7_200)))
        assertEquals(2, client.call("GET", "/v1/cloud/prices").json["prices"]!!.jsonArray.size)
    }
}
