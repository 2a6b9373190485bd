package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against checks that are of no use, wait too long, or lead to an upstream that must not get the stream. */
class LoadCheckTest {
    private val balancer =
        UpstreamBalancer(InstanceId("i1"), FailureDomain("a"), ManualClock()).also { balancer ->
            repeat(30) { balancer.onRegistered(ServingFixtures.upstream("u$it"), 0) }
        }
    private val query = PlacementQuery("s", listOf(7L), 1_000, 20_000)

    @Test
    fun `nothing is asked where upstreams state no slowdown`() {
        balancer.upstreams.forEach { balancer.onLoadReported(it, 1, 0, 0, 4, null) }
        assertNull(balancer.planCheck(query, millis(500)))
    }

    @Test
    fun `requests without a prompt are not checked`() {
        stateSlowdowns(0)
        assertNull(balancer.planCheck(PlacementQuery("s"), millis(500)))
    }

    @Test
    fun `nothing is asked for figures that are new`() {
        stateSlowdowns(millis(495))
        assertNull(balancer.planCheck(query, millis(500)))
    }

    @Test
    fun `nothing is asked when the feature is off`() {
        val unchecked = UpstreamBalancer(InstanceId("i1"), FailureDomain("a"), ManualClock(), BalancerOptions(checksLoads = false))
        repeat(3) { unchecked.onRegistered(ServingFixtures.upstream("u$it"), 0) }
        unchecked.upstreams.forEach { unchecked.onLoadReported(it, 0, 0, 0, 4, 1.0) }
        assertNull(unchecked.planCheck(query, millis(500)))
    }

    @Test
    fun `nothing is asked before a prompt that is soon read anywhere`() {
        stateSlowdowns(0)
        assertNull(balancer.planCheck(query.copy(promptTokens = 2_000), millis(500)))
        assertNull(balancer.planCheck(query.copy(sharedTokens = 19_000), millis(500)))
    }

    @Test
    fun `nothing is asked when the best candidate is known to be idle and as fast as usual`() {
        stateSlowdowns(0)
        val owner = assertIs<Placement.Chosen>(balancer.choose(query, 0)).upstream
        balancer.onLoadReported(owner, 0, 0, millis(495), 4, 1.0)
        assertNull(balancer.planCheck(query, millis(500)))
    }

    @Test
    fun `a candidate whose figure is new is compared without being asked`() {
        stateSlowdowns(0)
        val first = plan(query)
        balancer.onLoadReported(first.candidates[1], 0, 0, millis(495), 4, 1.0)
        val known = first.candidates[1]
        val checks = (1..20).map { plan(query) }.filter { known in it.candidates }
        assertTrue(checks.isNotEmpty() && checks.all { known !in it.asked })
    }

    @Test
    fun `two or three upstreams are asked, more of them for a larger prompt, and the owner of the shared part`() {
        stateSlowdowns(0)
        val sizes = listOf(11_900, 20_000, 50_000).map { plan(query.copy(promptTokens = it), millis(3_000)).candidates.size }
        assertEquals(listOf(2, 3, 3), sizes)
        val owner = assertIs<Placement.Chosen>(balancer.choose(query, 0)).upstream
        repeat(20) { assertTrue(owner in plan(query).candidates) }
    }

    @Test
    fun `an instance makes at most one check for each stream that it places, beyond a few that it has saved up`() {
        stateSlowdowns(0)
        val entry = balancer.upstreams.first()
        var asked = 0
        repeat(1_000) {
            asked += balancer.planCheck(query, millis(500))?.asked?.size ?: 0
            place(entry)
        }
        assertTrue(asked in 800..1_012, "$asked checks")
        val unplaced = (1..100).sumOf { balancer.planCheck(query, millis(500))?.asked?.size ?: 0 }
        assertTrue(unplaced <= 12, "$unplaced checks without a stream")
    }

    @Test
    fun `an upstream that has answered gets the stream before one that has not`() {
        stateSlowdowns(0)
        val check = plan(query)
        val last = check.candidates.last()
        balancer.onLoadReported(last, 1, 0, millis(502), 4, 2.0)
        check.onAnswered(last, millis(502))
        assertEquals(last, chosen(check))
        balancer.onUnreachable(last, millis(502))
        assertTrue(chosen(check) in check.candidates)
    }

    @Test
    fun `the stream goes to the best by the answers`() {
        stateSlowdowns(0)
        val check = plan(query)
        val best = check.candidates.last()
        check.candidates.forEach {
            balancer.onLoadReported(it, 0, 0, millis(503), 4, if (it === best) 1.0 else 3.0)
            check.onAnswered(it, millis(503))
        }
        assertEquals(best, chosen(check))
    }

    @Test
    fun `an upstream that has left during the checks gets nothing`() {
        stateSlowdowns(0)
        val check = plan(query)
        val (left, leaving, unreachable) = check.candidates
        balancer.onUnregistered(left.upstream.id)
        balancer.onLeavingStated(leaving, millis(502))
        balancer.onUnreachable(unreachable, millis(502))
        assertTrue(chosen(check) !in check.candidates)
    }

    @Test
    fun `an upstream that has started again under its id during the checks gets nothing in the name of its predecessor`() {
        stateSlowdowns(0)
        val check = plan(query)
        check.candidates.forEach {
            balancer.onRegistered(it.upstream.copy(bornMillis = 1), millis(501))
            balancer.onRegistered(it.upstream.copy(bornMillis = 2), millis(502))
        }
        val chosen = chosen(check)
        assertTrue(balancer.upstreams.any { it === chosen })
    }

    @Test
    fun `a round ends when all have answered or failed`() {
        stateSlowdowns(0)
        val check = plan(query)
        check.candidates.dropLast(1).forEach { check.onAnswered(it, millis(501)) }
        assertFalse(check.isComplete(millis(502)))
        check.onFailed(check.candidates.last())
        assertTrue(check.isComplete(millis(502)))
    }

    @Test
    fun `once half have answered the others have as long again`() {
        stateSlowdowns(0)
        val check = plan(query.copy(promptTokens = 50_000))
        check.candidates.take(1).forEach { check.onAnswered(it, millis(506)) }
        assertFalse(check.isComplete(millis(529)))
        check.candidates.drop(1).take(1).forEach { check.onAnswered(it, millis(506)) }
        assertFalse(check.isComplete(millis(511)))
        assertTrue(check.isComplete(millis(512)))
    }

    @Test
    fun `a round without answers ends after some tens of milliseconds`() {
        stateSlowdowns(0)
        val check = plan(query)
        assertFalse(check.isComplete(millis(529)))
        assertTrue(check.isComplete(millis(530)))
        assertEquals(millis(530), check.deadlineNanos)
    }

    @Test
    fun `answers of upstreams that were not asked or have answered do not count`() {
        stateSlowdowns(0)
        val check = plan(query)
        repeat(5) { check.onAnswered(check.candidates.first(), millis(501)) }
        check.onAnswered(balancer.upstreams.first { it !in check.candidates }, millis(501))
        assertEquals(1, check.answered)
    }

    // Guards against checks that do not help: most of the upstreams that instances have heard of as slow are not any more.
    @Test
    fun `with checks fewer streams are late where machines are slow for half a second at a time`() {
        val site = EngineSimulation.Options(132, 78, 24, 77.9, 307.0, Duration.ofMillis(660), Duration.ofMillis(660), 0.15)
        val (unchecked, checked) =
            listOf(site, site.copy(checks = true)).map { options ->
                val simulation = EngineSimulation(options, 1)
                simulation.play(Duration.ofSeconds(10))
                val times = simulation.play(Duration.ofSeconds(20), 1.7).long
                assertTrue(simulation.checksSent <= 1.05 * simulation.streamsSent, "${simulation.checksSent} of ${simulation.streamsSent}")
                times.count { it > 1_019 }.toDouble() / times.size
            }
        assertTrue(checked <= unchecked / 4, "$checked late with checks, $unchecked without")
    }

    private fun place(entry: UpstreamEntry) {
        balancer.onRequestSent(entry, 1, 0)
        balancer.onPromptRead(entry, 1)
        balancer.onRequestFinished(entry, null, 0)
    }

    private fun stateSlowdowns(nanos: Long) = balancer.upstreams.forEach { balancer.onLoadReported(it, 0, 0, nanos, 4, 1.0) }

    private fun plan(
        query: PlacementQuery,
        nanos: Long = millis(500),
    ): LoadCheck {
        repeat(12) { place(balancer.upstreams.first()) }
        return assertNotNull(balancer.planCheck(query, nanos))
    }

    private fun chosen(check: LoadCheck): UpstreamEntry =
        assertIs<Placement.Chosen>(balancer.chooseChecked(check, query, millis(503))).upstream

    private fun millis(count: Long): Long = Duration.ofMillis(count).toNanos()
}
