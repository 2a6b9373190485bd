package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against choices by load figures that cannot be right, are out of date or belong to another process. */
class LoadFigureTest {
    private val balancer = UpstreamBalancer(InstanceId("i1"), FailureDomain("a"), ManualClock())
    private val query = PlacementQuery("s", promptTokens = 6_000)

    @Test
    fun `counts that cannot be right are ignored`() {
        assertNull(LoadFigure.of(-1, 0, null, null, 0))
        assertNull(LoadFigure.of(0, -5, null, null, 0))
        assertNull(LoadFigure.of(Int.MAX_VALUE, Int.MAX_VALUE, null, null, 0))
    }

    @Test
    fun `a slowdown or number of slots that cannot be right is left out`() {
        for (slowdown in listOf(0.0, -2.0, 1e9, Double.NaN, Double.POSITIVE_INFINITY)) {
            assertNull(LoadFigure.of(1, 0, 4, slowdown, 0)?.slowdown, "$slowdown")
        }
        for (slots in listOf(0, -1, Int.MIN_VALUE, Int.MAX_VALUE)) assertNull(LoadFigure.of(1, 0, slots, 1.0, 0)?.slots, "$slots")
    }

    @Test
    fun `absurd figures leave the expected times within reason`() {
        val entry = register("u1")
        for (figure in listOf(-1, 100_000, Int.MAX_VALUE, Int.MIN_VALUE)) {
            balancer.onLoadReported(entry, figure, figure, 0, figure, figure.toDouble())
            val expected = balancer.expectedTimes(entry, query, 0).firstOutput
            assertTrue(!expected.isNegative && expected < Duration.ofDays(1), "$figure: $expected")
        }
        balancer.onLoadReported(entry, 0, 0, 1, 4, 1.0)
        assertTrue(balancer.expectedTimes(entry, query, 1).firstOutput < Duration.ofMillis(300))
    }

    @Test
    fun `a request expects to take longer where work does`() {
        val (usual, slow) = listOf(register("u1"), register("u2"))
        balancer.onLoadReported(usual, 0, 0, 0, 4, 1.0)
        balancer.onLoadReported(slow, 0, 0, 0, 4, 2.5)
        val ratio =
            balancer.expectedTimes(slow, query, 0).firstOutput.toNanos() /
                balancer.expectedTimes(usual, query, 0).firstOutput.toNanos().toDouble()
        assertEquals(2.5, ratio, 0.01)
    }

    @Test
    fun `a slowdown that changes often counts for little after a second, one that lasts counts on`() {
        val changing = slowdownAfterSecond { tick, random -> if (tick % 2 == 0) random.nextDouble(0.5, 3.0) else null }
        val lasting = slowdownAfterSecond { tick, random -> if (tick % 200 == 0) random.nextDouble(0.5, 3.0) else null }
        assertTrue(changing < 0.3, "$changing of the deviation is left")
        assertTrue(lasting > 0.6, "$lasting of the deviation is left")
    }

    /** Share of a deviation that is expected to be left after a second, when upstreams state 10 times a second what [draw] changes. */
    private fun slowdownAfterSecond(draw: (Int, Random) -> Double?): Double {
        val model = ServiceFigures()
        val random = Random(1)
        val entries = List(10) { UpstreamEntry(ServingFixtures.upstream("u$it"), 0) }
        val stated = DoubleArray(entries.size) { 1.0 }
        for (tick in 0 until 2_000) {
            for ((index, entry) in entries.withIndex()) {
                draw(tick + index * 20, random)?.let { stated[index] = it }
                val figure = LoadFigure(0, 0, 4, stated[index], tick * 100_000_000L)
                model.observe(entry, figure, 0.0)
                entry.updateFigure(figure, 0, isOwn = true)
            }
        }
        val now = 2_000 * 100_000_000L
        val figure = LoadFigure(0, 0, 4, model.meanSlowdown + 1, now)
        entries[0].updateFigure(figure, 0, isOwn = true)
        return model.expectedSlowdown(entries[0], now + 1_000_000_000L) - model.meanSlowdown
    }

    @Test
    fun `a service whose upstreams state no slowdown expects none`() {
        val model = ServiceFigures()
        val entry = UpstreamEntry(ServingFixtures.upstream("u1"), 0)
        val figure = LoadFigure(2, 0, 4, null, 0)
        model.observe(entry, figure, 0.5)
        entry.updateFigure(figure, 2, isOwn = true)
        assertEquals(1.0, model.expectedSlowdown(entry, 0))
        assertTrue(!model.statesSlowdown(0))
    }

    @Test
    fun `an upstream that starts again under its id begins without figures`() {
        val former = register("u1")
        balancer.onLoadReported(former, 4, 4, 0, 4, 2.5)
        balancer.onRegistered(ServingFixtures.upstream("u1").copy(bornMillis = 2), 1)
        val entry = balancer.upstreams.single()
        assertNull(entry.figure)
        assertTrue(balancer.choose(query, 1) is Placement.Chosen)
    }

    @Test
    fun `an upstream that starts again under its id or address is taken to hold no shared part, and to have the usual pace`() {
        for (change in listOf(1, 2)) {
            val id = "v$change"
            val former = register(id)
            former.onPartRead(7, 0)
            former.onPaceObserved(3.0, 0)
            assertTrue(former.holdsPart(7, 1) && former.paceRatio(1) > 1.0)
            val started = former.upstream.let { if (change == 1) it.copy(bornMillis = 2) else it.copy(port = it.port + 1) }
            balancer.onRegistered(started, 1)
            val entry = balancer.upstreams.first { it.upstream.id == started.id }
            assertEquals(false to 1.0, entry.holdsPart(7, 1) to entry.paceRatio(1))
        }
    }

    @Test
    fun `the shared parts of an upstream are bounded in number and forgotten with age`() {
        val entry = register("u1")
        (1L..1_000L).forEach { entry.onPartRead(it, it) }
        assertEquals(16, (1L..1_000L).count { entry.holdsPart(it, 1_000) })
        assertTrue((1L..1_000L).none { entry.holdsPart(it, 10_000_001_001) })
    }

    private fun register(id: String): UpstreamEntry {
        balancer.onRegistered(ServingFixtures.upstream(id).copy(bornMillis = 1), 0)
        return balancer.upstreams.first { it.upstream.id == UpstreamId(id) }
    }
}
