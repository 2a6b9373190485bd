package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against demand that is counted twice, forgotten too early or kept without a bound. */
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

    @Test
    fun `the demand counts as incomplete while more than a tenth of the instances have not told theirs`() {
        val instances = List(20) { "p$it" }
        assertFalse(demand.hasHeardFrom(instances.toSet(), 0))
        instances.drop(2).forEach { demand.updatePeer(it, 1, emptyMap(), 0) }
        assertTrue(demand.hasHeardFrom(instances.toSet(), seconds(2)))
        assertFalse(demand.hasHeardFrom(instances.toSet(), seconds(3)))
        instances.drop(3).forEach { demand.updatePeer(it, 1, emptyMap(), seconds(3)) }
        assertFalse(demand.hasHeardFrom(instances.toSet(), seconds(3)))
    }

    @Test
    fun `names that peers make up take bounded memory and give way to services in use`() {
        for (round in 0L..9L) {
            val names = List(5_000) { "$round-$it" }
            demand.updatePeer("p", 1, names.associateWith { 1.0 }, seconds(10 * round))
            names.forEach { demand.updatePeer("p$it", 1, emptyMap(), seconds(10 * round)) }
            demand.onAnnounced(names.associateWith { 1.0 }, seconds(10 * round))
            names.forEach { demand.onRequest(it, 1, seconds(10 * round)) }
            assertEquals(4_096, demand.rates(seconds(10 * round)).size)
        }
        assertTrue(demand.ownTotals.size <= 4_096)
        demand.onRequest("s", 400, seconds(100))
        assertEquals(100.0, demand.tokensPerSecond("s", seconds(100)))
        demand.updatePeer("live", 1, emptyMap(), seconds(100))
        assertTrue(demand.hasHeardFrom(setOf("live"), seconds(100)))
    }

    private fun seconds(count: Long): Long = Duration.ofSeconds(count).toNanos()
}
