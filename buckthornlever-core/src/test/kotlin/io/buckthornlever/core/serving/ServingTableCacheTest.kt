package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServingTable
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against requests with revoked keys, denials based on an outdated table, and a return to an older version. */
class ServingTableCacheTest {
    private val cache = ServingTableCache(TableAgeLimits.of(Duration.ofSeconds(2), Duration.ofSeconds(5)))

    @Test
    fun `nothing is allowed before the store has confirmed the table`() {
        cache.updateIfNewer(table(1))
        assertFalse(cache.allowsKeyedRequests(0))
        assertFalse(cache.allowsDenial(0))
        assertFalse(cache.isReady(0))
    }

    @Test
    fun `with growing age first denials end, then readiness, then keyed requests`() {
        cache.updateIfNewer(table(1))
        cache.onConfirmed(0)
        assertTrue(cache.allowsDenial(millis(1_500)))
        assertFalse(cache.allowsDenial(millis(1_700)))
        assertTrue(cache.isReady(millis(3_000)))
        assertFalse(cache.isReady(millis(3_100)))
        assertTrue(cache.allowsKeyedRequests(millis(4_600)))
        assertFalse(cache.allowsKeyedRequests(millis(4_700)))
    }

    @Test
    fun `an older version does not replace a newer one`() {
        assertTrue(cache.updateIfNewer(table(7)))
        assertFalse(cache.updateIfNewer(table(6)))
        assertEquals(7, cache.table?.version)
    }

    @Test
    fun `a pause makes the table unconfirmed until the store answers a later call`() {
        cache.updateIfNewer(table(1))
        cache.onConfirmed(0)
        cache.onPause(1)
        assertFalse(cache.allowsKeyedRequests(1))
        cache.onConfirmed(2)
        assertTrue(cache.allowsKeyedRequests(3))
    }

    @Test
    fun `an answer to a call from before a pause confirms nothing`() {
        cache.updateIfNewer(table(1))
        cache.onPause(millis(1_000))
        cache.onConfirmed(millis(900))
        assertFalse(cache.allowsKeyedRequests(millis(1_000)))
    }

    @Test
    fun `a confirmation by an earlier call does not make the table look older`() {
        cache.updateIfNewer(table(1))
        cache.onConfirmed(millis(500))
        cache.onConfirmed(millis(100))
        assertEquals(Duration.ofMillis(500), cache.age(millis(1_000)))
    }

    private fun table(version: Long): ServingTable = ServingTable(version, emptyList(), emptyList(), emptyList())

    private fun millis(count: Long): Long = Duration.ofMillis(count).toNanos()
}
