package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.serving.CrashSighting
import io.buckthornlever.api.serving.SuspectEvidence
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PoisonPartTrackerTest {
    private val tracker = PoisonPartTracker()
    private var millis = 1_000_000L

    @Test
    fun `a part at which three upstreams crash is blocked`() {
        repeat(2) { crash("u$it", DEADLY) }
        assertFalse(tracker.blocks(listOf(DEADLY)))
        crash("u2", DEADLY)
        assertTrue(tracker.blocks(listOf(FIRST, DEADLY)))
    }

    @Test
    fun `parts that sound requests share with the deadly one are not blocked`() {
        output(FIRST, OWN)
        repeat(10) {
            crash("u$it", FIRST, OWN, DEADLY)
            output(FIRST)
        }
        assertEquals(setOf(setOf(DEADLY)), tracker.blocked)
    }

    @Test
    fun `a deadly part in front of a part that had output is the one that is blocked`() {
        output(OWN)
        repeat(10) { crash("u$it", DEADLY, OWN) }
        assertEquals(setOf(setOf(DEADLY)), tracker.blocked)
    }

    @Test
    fun `parts that only ever crashed together are blocked together until output of some shows the cause`() {
        repeat(3) { crash("u$it", FIRST, OWN, DEADLY) }
        assertTrue(tracker.blocks(listOf(FIRST, OWN, DEADLY)))
        assertFalse(tracker.blocks(listOf(FIRST, OWN)))
        output(FIRST, OWN)
        assertTrue(tracker.blocks(listOf(OTHER, DEADLY)))
    }

    @Test
    fun `parts that only ever crashed together are blocked together until a crash with some shows the cause`() {
        repeat(3) { crash("u$it", OWN, DEADLY) }
        assertFalse(tracker.blocks(listOf(OTHER, DEADLY)))
        crash("u3", OTHER, DEADLY)
        assertEquals(setOf(setOf(DEADLY)), tracker.blocked)
    }

    @Test
    fun `a part that had output is blocked after five crashes`() {
        output(DEADLY)
        repeat(4) { crash("u$it", DEADLY) }
        assertFalse(tracker.blocks(listOf(DEADLY)))
        crash("u4", DEADLY)
        assertTrue(tracker.blocks(listOf(DEADLY)))
    }

    @Test
    fun `output clears a part`() {
        repeat(2) { crash("u$it", OWN) }
        output(OWN)
        repeat(2) { crash("v$it", OWN) }
        assertFalse(tracker.blocks(listOf(OWN)))
    }

    @Test
    fun `output of a run that began before the block lifts it`() {
        repeat(3) { crash("u$it", OWN) }
        assertTrue(tracker.blocks(listOf(OWN)))
        output(OWN)
        assertFalse(tracker.blocks(listOf(OWN)))
    }

    @Test
    fun `upstreams that crash at the same moment do not block the parts of the runs that they end`() {
        repeat(20) { tracker.onCrash(listOf(OWN), UpstreamId("u$it"), millis) }
        assertFalse(tracker.blocks(listOf(OWN)))
    }

    @Test
    fun `one upstream that keeps breaking connections does not block a part`() {
        repeat(10) { crash("u", OWN) }
        assertFalse(tracker.blocks(listOf(OWN)))
    }

    @Test
    fun `a second deadly part is found beside the first`() {
        output(FIRST)
        repeat(3) { crash("u$it", FIRST, DEADLY) }
        output(FIRST)
        repeat(3) { crash("v$it", FIRST, OTHER_DEADLY) }
        assertEquals(setOf(setOf(DEADLY), setOf(OTHER_DEADLY)), tracker.blocked)
    }

    @Test
    fun `a block ends some time after the last crash`() {
        repeat(3) { crash("u$it", DEADLY) }
        tracker.expire(millis + 590_000)
        assertTrue(tracker.blocks(listOf(DEADLY)))
        tracker.expire(millis + 610_000)
        assertFalse(tracker.blocks(listOf(DEADLY)))
    }

    @Test
    fun `crashes far in the future are dropped`() {
        val crashes = (0L..5L).mapTo(HashSet()) { CrashSighting(it, millis + 1_000_000 + it * 1_000) }
        tracker.merge(mapOf(OWN to SuspectEvidence(crashes)), millis)
        assertFalse(tracker.blocks(listOf(OWN)))
    }

    @Test
    fun `crashes seen by several instances add up and one crash seen by all counts once`() {
        val others = List(3) { PoisonPartTracker() }
        others.forEachIndexed { index, other -> other.onCrash(listOf(DEADLY), UpstreamId("u$index"), millis + index * 1_000) }
        others.forEachIndexed { index, other -> other.onCrash(listOf(OWN), UpstreamId("u"), millis + index) }
        repeat(2) { others.forEach { tracker.merge(it.evidence(0), millis) } }
        assertEquals(setOf(setOf(DEADLY)), tracker.blocked)
    }

    @Test
    fun `output that only another instance has seen clears a part`() {
        val other = PoisonPartTracker()
        repeat(2) { crash("u$it", OWN) }
        other.merge(tracker.evidence(0), millis)
        other.onOutput(listOf(OWN), millis + 1)
        tracker.merge(other.observedEvidence(0), millis)
        crash("u2", OWN)
        assertFalse(tracker.blocks(listOf(OWN)))
    }

    @Test
    fun `output before the crashes that only another instance has seen is reported to it`() {
        val other = PoisonPartTracker()
        other.onOutput(listOf(OWN), millis)
        repeat(3) { crash("u$it", OWN, DEADLY) }
        other.merge(tracker.evidence(0), millis)
        assertEquals(setOf(OWN), other.observedEvidence(0).keys)
    }

    @Test
    fun `only evidence that has changed is sent again`() {
        crash("u0", OWN)
        val revision = tracker.revision
        crash("u1", DEADLY)
        assertEquals(setOf(DEADLY), tracker.observedEvidence(revision).keys)
        tracker.merge(tracker.evidence(0), millis)
        assertTrue(tracker.observedEvidence(tracker.revision).isEmpty())
    }

    private fun crash(
        upstream: String,
        vararg parts: Long,
    ) {
        millis += 1_000
        tracker.onCrash(parts.toList(), UpstreamId(upstream), millis)
    }

    private fun output(vararg parts: Long) {
        millis += 1_000
        tracker.onOutput(parts.toList(), millis)
    }

    private companion object {
        const val FIRST = 1L
        const val OWN = 2L
        const val DEADLY = 3L
        const val OTHER_DEADLY = 4L
        const val OTHER = 5L
    }
}
