package io.buckthornlever.core.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PoisonRequestTrackerTest {
    @Test
    fun `broken runs on two instances block a fingerprint`() {
        val tracker = PoisonRequestTracker()
        tracker.onBrokenRun(1, 0)
        assertEquals(false, tracker.isBlocked(1))
        tracker.updatePeer("i2", mapOf(1L to 1))
        assertTrue(tracker.isBlocked(1))
    }

    @Test
    fun `the shared counts of many instances fit into a datagram and keep the fingerprints that broke most`() {
        val tracker = PoisonRequestTracker()
        for (peer in 0 until 1_200) tracker.updatePeer("i$peer", (0L until 64L).associate { peer * 64L + it to 1 } + (-1L to 1))
        val shared = tracker.countsByInstance("self", 0)
        assertEquals(1_024, shared.values.sumOf { it.size })
        assertEquals(1_024, shared.values.count { -1L in it })
    }
}
