package io.buckthornlever.core.process.lease

import io.buckthornlever.core.process.lease.LeaseWorld.Outcome
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LeaseMachineTest {
    /** Guards against two holders and overlapping orders under pauses, lost answers and failed calls in any order. */
    @Property(seed = "31", tries = 400)
    fun `no schedule lets two instances order at once`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        var world = LeaseWorld()
        repeat(300) {
            val paused = world.nodes.indices.filter { random.nextInt(4) == 0 }.toSet()
            world = if (world.calls.isEmpty() || random.nextInt(3) == 0) {
                world.advance(paused)
            } else {
                world.complete(random.nextInt(world.calls.size), Outcome.entries.random(random))
            }
        }
        assertNull(world.violation)
    }

    /** Guards against the same in schedules that random choice misses. */
    @Test
    fun `all schedules up to a small depth are safe`() {
        var silent = takenOnce()
        repeat(SILENT_SECONDS) {
            val visited = HashSet<LeaseWorld>()
            var frontier = listOf(silent)
            repeat(DEPTH) {
                frontier = frontier.flatMap(::successors).filter { visited.add(it) }
                frontier.forEach { assertNull(it.violation) }
            }
            assertTrue(visited.size > 1_000, "only ${visited.size} states")
            silent = settle(silent.advance(paused = setOf(0)))
        }
    }

    @Test
    fun `a holder whose calls succeed keeps the lease and its fencing number`() {
        var world = takenOnce()
        val fencing = world.nodes[0].held?.fencing
        repeat(20) { world = settle(world.advance(emptySet())) }
        assertEquals(fencing, world.nodes[0].held?.fencing)
        assertEquals(1, world.gained)
    }

    @Test
    fun `a paused holder is succeeded and does not order after it resumes`() {
        var world = takenOnce()
        val first = assertNotNull(world.nodes[0].held).fencing
        repeat(14) { world = settle(world.advance(paused = setOf(0))) }
        assertTrue(assertNotNull(world.nodes[1].held).fencing > first)
        assertNull(LeaseWorld.MACHINE.permit(world.nodes[0], true, world.now(0)))
        world = settle(world.advance(emptySet()))
        assertNull(world.nodes[0].held)
        assertNull(world.violation)
    }

    @Test
    fun `a write whose answer is lost is recognised by its token`() {
        var world = LeaseWorld().advance(setOf(1))
        world = world.complete(0, Outcome.DELIVERED)
        world = world.complete(0, Outcome.ANSWER_LOST)
        assertNull(world.nodes[0].held)
        world = settle(world)
        assertEquals(world.stored?.record?.fencing, world.nodes[0].held?.fencing)
    }

    @Test
    fun `a lease that was resigned is taken at once`() {
        var world = settle(takenOnce().event(0, LeaseEvent.ResignRequested))
        repeat(2) { world = settle(world.advance(setOf(0))) }
        assertNotNull(world.nodes[1].held)
    }

    @Test
    fun `a deleted record does not let the fencing number fall`() {
        var world = takenOnce()
        val first = assertNotNull(world.nodes[0].held).fencing
        world = world.copy(stored = null, storeVersion = world.storeVersion + 1)
        repeat(9) { world = settle(world.advance(setOf(0))) }
        assertTrue(assertNotNull(world.nodes[1].held).fencing > first)
    }

    private fun takenOnce(): LeaseWorld = settle(LeaseWorld().advance(setOf(1)))

    private fun settle(world: LeaseWorld): LeaseWorld {
        var next = world
        while (next.calls.isNotEmpty()) next = next.complete(0, Outcome.DELIVERED)
        return next
    }

    private fun successors(world: LeaseWorld): List<LeaseWorld> {
        val completions = world.calls.indices.flatMap { call -> Outcome.entries.map { world.complete(call, it) } }
        val advances = listOf(emptySet(), setOf(0), setOf(1)).map { world.advance(it) }
        return completions + advances
    }

    private companion object {
        const val DEPTH = 7
        const val SILENT_SECONDS = 14
    }
}
