package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServingTable
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against work with revoked keys, against denials from an old table, and against a return to an older version. */
class ServingBeliefTest {
    private val belief = ServingTableCache(TableAgeLimits.of(Duration.ofSeconds(2), Duration.ofSeconds(5)))

    @Test
    fun `nothing is allowed before the store has confirmed the table`() {
        belief.updateIfNewer(table(1))
        assertFalse(belief.allowsKeyedRequests(0))
        assertFalse(belief.allowsDenial(0))
        assertFalse(belief.isReady(0))
    }

    @Test
    fun `what an age forbids begins with denials and ends with keyed work`() {
        belief.updateIfNewer(table(1))
        belief.onConfirmed(0)
        assertTrue(belief.allowsDenial(millis(1_500)))
        assertFalse(belief.allowsDenial(millis(1_700)))
        assertTrue(belief.isReady(millis(3_000)))
        assertFalse(belief.isReady(millis(3_100)))
        assertTrue(belief.allowsKeyedRequests(millis(4_600)))
        assertFalse(belief.allowsKeyedRequests(millis(4_700)))
    }

    @Test
    fun `an older version does not replace a newer one`() {
        assertTrue(belief.updateIfNewer(table(7)))
        assertFalse(belief.updateIfNewer(table(6)))
        assertEquals(7, belief.table?.version)
    }

    @Test
    fun `a pause makes the table unconfirmed until the store answers a later call`() {
        belief.updateIfNewer(table(1))
        belief.onConfirmed(0)
        belief.onPause(1)
        assertFalse(belief.allowsKeyedRequests(1))
        belief.onConfirmed(2)
        assertTrue(belief.allowsKeyedRequests(3))
    }

    @Test
    fun `an answer to a call from before a pause confirms nothing`() {
        belief.updateIfNewer(table(1))
        belief.onPause(millis(1_000))
        belief.onConfirmed(millis(900))
        assertFalse(belief.allowsKeyedRequests(millis(1_000)))
    }

    @Test
    fun `a confirmation that was sent earlier does not make the table look older`() {
        belief.updateIfNewer(table(1))
        belief.onConfirmed(millis(500))
        belief.onConfirmed(millis(100))
        assertEquals(Duration.ofMillis(500), belief.age(millis(1_000)))
    }

    private fun table(version: Long): ServingTable = ServingTable(version, emptyList(), emptyList(), emptyList())

    private fun millis(count: Long): Long = Duration.ofMillis(count).toNanos()
}
