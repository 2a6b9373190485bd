package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServingTable
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against requests with revoked keys, denials based on an outdated table, and a return to an older version. */
class ServingTableCacheTest {
    private val cache = ServingBelief(BeliefLimits.of(Duration.ofSeconds(2), Duration.ofSeconds(5)))

    @Test
    fun `nothing is allowed before the store has confirmed the table`() {
        cache.offer(table(1))
        assertFalse(cache.allowsKeyedWork(0))
        assertFalse(cache.allowsDenial(0))
        assertFalse(cache.isReady(0))
    }

    @Test
    fun `with growing age first denials end, then readiness, then keyed requests`() {
        cache.offer(table(1))
        cache.confirmed(0)
        assertTrue(cache.allowsDenial(millis(1_500)))
        assertFalse(cache.allowsDenial(millis(1_700)))
        assertTrue(cache.isReady(millis(3_000)))
        assertFalse(cache.isReady(millis(3_100)))
        assertTrue(cache.allowsKeyedWork(millis(4_600)))
        assertFalse(cache.allowsKeyedWork(millis(4_700)))
    }

    @Test
    fun `an older version does not replace a newer one`() {
        assertTrue(cache.offer(table(7)))
        assertFalse(cache.offer(table(6)))
        assertEquals(7, cache.table?.version)
    }

    @Test
    fun `a pause makes the table unconfirmed until the store answers a later call`() {
        cache.offer(table(1))
        cache.confirmed(0)
        cache.paused(1)
        assertFalse(cache.allowsKeyedWork(1))
        cache.confirmed(2)
        assertTrue(cache.allowsKeyedWork(3))
    }

    @Test
    fun `an answer to a call from before a pause confirms nothing`() {
        cache.offer(table(1))
        cache.paused(millis(1_000))
        cache.confirmed(millis(900))
        assertFalse(cache.allowsKeyedWork(millis(1_000)))
    }

    @Test
    fun `a confirmation by an earlier call does not make the table look older`() {
        cache.offer(table(1))
        cache.confirmed(millis(500))
        cache.confirmed(millis(100))
        assertEquals(Duration.ofMillis(500), cache.age(millis(1_000)))
    }

    private fun table(version: Long): ServingTable = ServingTable(version, emptyList(), emptyList(), emptyList())

    private fun millis(count: Long): Long = Duration.ofMillis(count).toNanos()
}
