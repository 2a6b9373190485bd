package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals

class DemandMeterTest {
    private val demand = DemandMeter()

    @Test
    fun `the totals of peers count from the second message on`() {
        demand.onRequest("s", 400, 0)
        demand.updatePeer("p", 1, mapOf("s" to 1_000.0), 0)
        demand.updatePeer("p", 1, mapOf("s" to 1_400.0), seconds(1))
        assertEquals(200.0, demand.tokensPerSecond("s", seconds(1)))
    }

    @Test
    fun `a new gatherer plans with the demand that its predecessor announced until it has measured its own`() {
        demand.onAnnounced(mapOf("s" to 90_000.0), 0)
        demand.onRequest("s", 40_000, seconds(5))
        assertEquals(90_000.0, demand.tokensPerSecond("s", seconds(6)))
        demand.onRequest("s", 400_000, seconds(7))
        assertEquals(110_000.0, demand.tokensPerSecond("s", seconds(7)))
        assertEquals(0.0, demand.tokensPerSecond("s", seconds(20)))
    }

    private fun seconds(count: Long): Long = Duration.ofSeconds(count).toNanos()
}
