package io.buckthornlever.standin.process

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.PlatformInstance
import io.buckthornlever.standin.connection.TestClient
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Timeout
import kotlin.test.Test
import kotlin.test.assertEquals

@Timeout(60)
class InstanceListStandInTest {
    private val clock = SettableClock()

    @Test
    fun `a change is visible only after the lag`() {
        InstanceListStandIn(clock).start().use { list ->
            val client = TestClient({ list.url })

            fun states() =
                client.call("GET", "/v1/instances").json["instances"]!!.jsonArray.map { it.jsonObject["state"]!!.jsonPrimitive.content }
            list.faults.lagMillis = 100
            list.put(PlatformInstance(InstanceId("i1"), "127.0.0.1", 7000, FailureDomain("a"), "entry", leaving = true))
            assertEquals(emptyList(), states())
            clock.millis = 100
            assertEquals(listOf("leaving"), states())
            assertEquals(2, list.records.calls)
        }
    }
}
