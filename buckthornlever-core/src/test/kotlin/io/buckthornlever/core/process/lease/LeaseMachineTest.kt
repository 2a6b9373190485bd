package io.buckthornlever.core.process.lease

import io.buckthornlever.core.process.lease.LeaseModel.Outcome
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LeaseMachineTest {
    /** Guards against two holders and overlapping orders under pauses, lost responses and failed calls in any order. */
    @Property(seed = "31", tries = 400)
    fun `no schedule lets two instances send orders at the same time`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        var model = LeaseModel()
        repeat(300) {
            val paused = model.nodes.indices.filter { random.nextInt(4) == 0 }.toSet()
            model = if (model.calls.isEmpty() || random.nextInt(3) == 0) {
                val next = model.advance(paused)
                if (random.nextBoolean()) next.announce(random.nextInt(2)) else next
            } else {
                model.complete(random.nextInt(model.calls.size), Outcome.entries.random(random))
            }
        }
        assertNull(model.violation)
    }

    /**
     * Guards against the same faults in schedules that the random test misses: tries every schedule of [DEPTH] steps, starting from
     * each length of a pause of the holder below [MAX_PAUSE_SECONDS].
     */
    @Test
    fun `all schedules up to a small depth are safe`() {
        var initial = modelWithFirstHolder()
        repeat(MAX_PAUSE_SECONDS) {
            val visited = HashSet<LeaseModel>()
            var frontier = listOf(initial)
            repeat(DEPTH) {
                frontier = frontier.flatMap(::successors).filter { visited.add(it) }
                frontier.forEach { assertNull(it.violation) }
            }
            assertTrue(visited.size > 1_000, "only ${visited.size} states")
            initial = completeAllCalls(initial.advance(paused = setOf(0)))
        }
    }

    @Test
    fun `a holder whose calls succeed keeps the lease and its fencing token`() {
        var model = modelWithFirstHolder()
        val fencing = model.nodes[0].held?.fencing
        repeat(20) { model = completeAllCalls(model.advance(emptySet())) }
        assertEquals(fencing, model.nodes[0].held?.fencing)
        assertEquals(1, model.gained)
    }

    @Test
    fun `a paused holder is replaced and gets no permit after it resumes`() {
        var model = modelWithFirstHolder()
        val first = assertNotNull(model.nodes[0].held).fencing
        repeat(14) { model = completeAllCalls(model.advance(paused = setOf(0))) }
        assertTrue(assertNotNull(model.nodes[1].held).fencing > first)
        assertNull(LeaseModel.MACHINE.permit(model.nodes[0], true, model.now(0)))
        model = completeAllCalls(model.advance(emptySet()))
        assertNull(model.nodes[0].held)
        assertNull(model.violation)
    }

    @Test
    fun `a write whose response is lost is recognised by its token`() {
        var model = LeaseModel().advance(setOf(1))
        model = model.complete(0, Outcome.DELIVERED)
        model = model.complete(0, Outcome.ANSWER_LOST)
        assertNull(model.nodes[0].held)
        model = completeAllCalls(model)
        assertEquals(model.stored?.record?.fencing, model.nodes[0].held?.fencing)
    }

    @Test
    fun `a lease that its holder announced to end is acquired as soon as it has ended`() {
        assertEquals(7, secondsUntilTakeover(modelWithFirstHolder().announce(0)))
    }

    @Test
    fun `without an announcement a lease is acquired once it was seen unchanged for its whole lifetime`() {
        assertEquals(11, secondsUntilTakeover(modelWithFirstHolder()))
    }

    /**
     * The second instance begins to read the record four seconds after the first one has acquired the lease and stopped. Its clock,
     * which runs a quarter faster, passes the lifetime of 6 s and the error bound of 2 s within 7 s.
     */
    private fun secondsUntilTakeover(initial: LeaseModel): Long {
        var model = initial
        val from = model.seconds
        repeat(4) { model = model.advance(setOf(0, 1)) }
        while (model.nodes[1].held == null) model = completeAllCalls(model.advance(setOf(0)))
        assertNull(model.violation)
        return model.seconds - from
    }

    @Test
    fun `a resigned lease is acquired without waiting for its expiry`() {
        var model = completeAllCalls(modelWithFirstHolder().event(0, LeaseEvent.ResignRequested))
        repeat(2) { model = completeAllCalls(model.advance(setOf(0))) }
        assertNotNull(model.nodes[1].held)
    }

    @Test
    fun `a deleted record does not lower the fencing token`() {
        var model = modelWithFirstHolder()
        val first = assertNotNull(model.nodes[0].held).fencing
        model = model.copy(stored = null, storeVersion = model.storeVersion + 1)
        repeat(9) { model = completeAllCalls(model.advance(setOf(0))) }
        assertTrue(assertNotNull(model.nodes[1].held).fencing > first)
    }

    private fun modelWithFirstHolder(): LeaseModel = completeAllCalls(LeaseModel().advance(setOf(1)))

    private fun completeAllCalls(model: LeaseModel): LeaseModel {
        var next = model
        while (next.calls.isNotEmpty()) next = next.complete(0, Outcome.DELIVERED)
        return next
    }

    private fun successors(model: LeaseModel): List<LeaseModel> {
        val completions = model.calls.indices.flatMap { call -> Outcome.entries.map { model.complete(call, it) } }
        val advances = listOf(emptySet(), setOf(0), setOf(1)).map { model.advance(it) }
        return completions + advances + model.announce(0) + model.announce(1)
    }

    private companion object {
        const val DEPTH = 7
        const val MAX_PAUSE_SECONDS = 14
    }
}
