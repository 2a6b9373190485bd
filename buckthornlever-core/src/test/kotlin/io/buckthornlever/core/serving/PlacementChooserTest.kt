package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against choices among a few candidates that miss a free upstream, lose the affinity of shared parts or hold on to it too long. */
class PlacementChooserTest {
    private val balancer = newBalancer("i1")

    @Test
    fun `a shared part goes to the same upstream on all instances and stays there while others come and go`() {
        val other = newBalancer("i2")
        val owners = (1L..50L).associateWith { chosen(balancer, shared(it)) }
        assertEquals(owners, owners.mapValues { (part, _) -> chosen(other, shared(part)) })
        val gone = owners.getValue(1)
        balancer.onUnregistered(UpstreamId(gone))
        balancer.onRegistered(ServingFixtures.upstream("new"), 1)
        val moved = owners.filter { (part, owner) -> owner != gone && chosen(balancer, shared(part)) != owner }
        assertTrue(moved.size <= 5, "${moved.size} of 50 parts moved to the upstream that came")
        assertTrue(moved.keys.all { chosen(balancer, shared(it)) == "new" })
    }

    @Test
    fun `the parts of an owner that is busy have one further upstream in common`() {
        val query = shared(7)
        val owner = entry(chosen(balancer, query))
        balancer.onRequestSent(owner, 60_000, 0)
        val second = (1..20).map { chosen(balancer, query) }.toSet()
        assertEquals(1, second.size, "$second")
    }

    @Test
    fun `a large prompt is read anew elsewhere when the upstream that holds its shared part is slow`() {
        balancer.upstreams.forEach { balancer.onLoadReported(it, 0, 0, 0, 4, 1.0) }
        val query = shared(7).copy(promptTokens = 50_000)
        val owner = entry(chosen(balancer, query))
        balancer.onLoadReported(owner, 0, 0, 1, 4, 2.5)
        assertTrue(chosen(balancer, query) != owner.upstream.id.value)
        // For a small prompt the shared part is worth more than the pace.
        assertEquals(owner.upstream.id.value, chosen(balancer, shared(7)))
    }

    @Test
    fun `a part that is busy spreads over the same four upstreams on all instances`() {
        val other = newBalancer("i2")
        val used =
            listOf(balancer, other).map { each ->
                (1..20).mapTo(HashSet()) {
                    val entry = assertIs<Placement.Chosen>(each.choose(shared(7), 1)).upstream
                    each.onRequestSent(entry, 1_000, 0)
                    each.onRequestFinished(entry, null, 0)
                    entry.upstream.id.value
                }
            }
        assertEquals(used.first(), used.last())
        assertEquals(owners(shared(7)).map { it.upstream.id.value }.toSet(), used.first())
    }

    @Test
    fun `a part is not read anew elsewhere for a small gain, unless the request may be late where it is held`() {
        val owners = owners(shared(7)).onEach { balancer.onRequestSent(it, 3_000, 0) }.map { it.upstream.id.value }
        repeat(20) { assertTrue(chosen(balancer, shared(7)) in owners) }
        repeat(20) { assertTrue(chosen(balancer, shared(7).copy(firstOutputBy = 1_000_000_000)) in owners) }
        repeat(20) { assertTrue(chosen(balancer, shared(7).copy(firstOutputBy = 200_000_000)) !in owners) }
    }

    @Test
    fun `a part is read anew elsewhere when all its owners are far behind`() {
        val owners = owners(shared(7)).onEach { balancer.onRequestSent(it, 30_000, 0) }.map { it.upstream.id.value }
        repeat(20) { assertTrue(chosen(balancer, shared(7)) !in owners) }
    }

    @Test
    fun `requests that name a shared part but no token counts stay with its owner`() {
        val other = newBalancer("i2")
        for (query in listOf(PlacementQuery("s", listOf(7L)), PlacementQuery("s", listOf(7L), 5_000))) {
            val owner = chosen(balancer, shared(7))
            for (each in listOf(balancer, other)) {
                each.upstreams.forEach { each.onLoadReported(it, 0, 0, 0) }
                repeat(30) { assertEquals(owner, chosen(each, query.copy(tieBreak = it.toLong()))) }
            }
        }
    }

    // Guards against requests that all follow figures which are wrong: some upstreams always seem idle, or all figures have stopped.
    @Test
    fun `figures that are wrong or have stopped do not concentrate requests on one upstream`() {
        for (repeats in listOf(false, true)) {
            val misled = newBalancer("i3")
            val counts = HashMap<String, Int>()
            repeat(2_000) { count ->
                val nanos = count * 20_000_000L
                if (repeats || count == 0) {
                    misled.upstreams.forEachIndexed { index, entry ->
                        misled.onLoadReported(entry, if (index == 0) 0 else 2, 0, nanos, 4, if (index == 0) 0.05 else 3.0)
                    }
                }
                val query = PlacementQuery("s", listOf(count % 60L), 5_000, 6_000)
                val entry = assertIs<Placement.Chosen>(misled.choose(query, nanos)).upstream
                counts.merge(entry.upstream.id.value, 1, Int::plus)
            }
            val most = counts.values.max() / 2_000.0
            assertTrue(most <= MAX_CONCENTRATION, "$most of the requests, repeated $repeats")
        }
    }

    @Test
    fun `the only free upstream is found though it is no candidate`() {
        val free = balancer.upstreams.elementAt(17)
        balancer.upstreams.filter { it !== free }.forEach { entry -> repeat(4) { balancer.onRequestSent(entry, 0, 0) } }
        repeat(50) { assertEquals(free.upstream.id.value, chosen(balancer, PlacementQuery("s", tieBreak = it.toLong()))) }
    }

    @Test
    fun `there is no room when all are taken, and no upstream when all were tried`() {
        val ids = balancer.upstreams.mapTo(HashSet()) { it.upstream.id }
        assertIs<Placement.NoUpstream>(balancer.choose(PlacementQuery("s", tried = ids), 0))
        balancer.upstreams.forEach { entry -> repeat(4) { balancer.onRequestSent(entry, 0, 0) } }
        assertIs<Placement.Busy>(balancer.choose(PlacementQuery("s"), 0))
    }

    @Test
    fun `an upstream that leaves or is evacuated is no candidate any more`() {
        val owner = entry(chosen(balancer, shared(7)))
        balancer.onLeavingStated(owner, 0)
        assertTrue(chosen(balancer, shared(7)) != owner.upstream.id.value)
        balancer.updateEvacuated(setOf(FailureDomain("a")))
        assertIs<Placement.NoUpstream>(balancer.choose(shared(7), 0))
    }

    @Test
    fun `with fixed weights the choice is the best of all`() {
        val fixed = newBalancer("i1", BalancerOptions(usesExpectedTimes = false))
        val best = fixed.upstreams.elementAt(23)
        fixed.upstreams.filter { it !== best }.forEach { fixed.onLoadReported(it, 2, 0, 0) }
        repeat(20) { assertEquals(best.upstream.id.value, chosen(fixed, PlacementQuery("s", promptTokens = 6_000))) }
    }

    /** The upstreams that [query] goes to, in turn, while those before count as tried. */
    private fun owners(query: PlacementQuery): List<UpstreamEntry> {
        val tried = LinkedHashSet<UpstreamId>()
        repeat(4) { tried.add(UpstreamId(chosen(balancer, query.copy(tried = tried.toSet())))) }
        return tried.map { entry(it.value) }
    }

    private fun shared(part: Long) = PlacementQuery("s", listOf(part), 5_000, 6_000)

    private fun newBalancer(
        name: String,
        options: BalancerOptions = BalancerOptions(),
    ): UpstreamBalancer {
        val balancer = UpstreamBalancer(InstanceId(name), FailureDomain("a"), ManualClock(), options)
        repeat(50) { balancer.onRegistered(ServingFixtures.upstream("u$it"), 0) }
        return balancer
    }

    private fun entry(id: String): UpstreamEntry = balancer.upstreams.first { it.upstream.id.value == id }

    private fun chosen(
        balancer: UpstreamBalancer,
        query: PlacementQuery,
    ): String = assertIs<Placement.Chosen>(balancer.choose(query, 1)).upstream.upstream.id.value

    private companion object {
        /** Of 50 upstreams, a request looks at five at random and at the owners of its part. */
        const val MAX_CONCENTRATION = 0.2
    }
}
