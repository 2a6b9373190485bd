package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against requests to upstreams that leave, are cold, full, evacuated, unreachable or were already tried. */
class UpstreamBalancerTest {
    private val balancer = UpstreamBalancer(InstanceId("i1"), FailureDomain("a"), ManualClock(millis(-60_000)))
    private val query = PlacementQuery("s")

    @Test
    fun `a leaving upstream gets nothing`() {
        register("u1", leaving = true)
        assertIs<Placement.NoUpstream>(balancer.choose(query, 0))
    }

    @Test
    fun `an evacuated failure domain gets nothing`() {
        register("u1", domain = "b")
        balancer.updateEvacuated(setOf(FailureDomain("b")))
        assertIs<Placement.NoUpstream>(balancer.choose(query, 0))
    }

    @Test
    fun `an upstream that was tried is not tried again`() {
        register("u1")
        assertIs<Placement.NoUpstream>(balancer.choose(query.copy(tried = setOf(UpstreamId("u1"))), 0))
    }

    @Test
    fun `an upstream with all slots taken is busy`() {
        register("u1", slots = 1)
        balancer.onRequestSent(chosen(query), 0, 0)
        assertIs<Placement.Busy>(balancer.choose(query, 0))
    }

    @Test
    fun `an upstream that cannot be reached gets nothing for a while`() {
        register("u1")
        balancer.onUnreachable(chosen(query), 0)
        assertIs<Placement.Busy>(balancer.choose(query, millis(100)))
        assertIs<Placement.Chosen>(balancer.choose(query, millis(600)))
    }

    @Test
    fun `a cold upstream gets this instance's share of the rate that it can take`() {
        balancer.updateTable(ServingFixtures.table(coldRequestsPerSecond = 10.0))
        balancer.updateInstances((1..5).mapTo(HashSet()) { InstanceId("i$it") })
        register("u1", coldFor = Duration.ofSeconds(30))
        var sent = 0
        for (tick in 0 until 100) {
            val placement = balancer.choose(query, millis(tick * 100L))
            if (placement is Placement.Chosen) {
                balancer.onRequestSent(placement.upstream, 0, millis(tick * 100L))
                balancer.onRequestFinished(placement.upstream, false, millis(tick * 100L))
                sent++
            }
        }
        assertEquals(20, sent)
    }

    @Test
    fun `requests with the same shared part go to the same upstream on all instances`() {
        val other = UpstreamBalancer(InstanceId("i2"), FailureDomain("b"), ManualClock())
        listOf("u1", "u2", "u3", "u4").forEach {
            register(it)
            other.onRegistered(ServingFixtures.upstream(it), 0)
        }
        for (part in 1L..20L) {
            val shared = PlacementQuery("s", listOf(part), 5_000, 6_000)
            val there = assertIs<Placement.Chosen>(other.choose(shared, 0)).upstream
            assertEquals(there.upstream.id, chosen(shared).upstream.id)
        }
    }

    @Test
    fun `a long queue at the affinity upstream of a shared part sends the request elsewhere`() {
        register("u1")
        register("u2")
        val shared = PlacementQuery("s", listOf(1L), 5_000, 6_000)
        val affinity = chosen(shared)
        balancer.onRequestSent(affinity, 50_000, 0)
        assertTrue(chosen(shared) !== affinity)
    }

    @Test
    fun `an upstream whose registration lapsed stays until the grace period is over`() {
        register("u1")
        balancer.onLapsed(UpstreamId("u1"), millis(10))
        assertIs<Placement.Chosen>(balancer.choose(query, millis(20)))
        assertTrue(balancer.removeLapsedBefore(millis(10)).isEmpty())
        assertEquals(listOf(UpstreamId("u1")), balancer.removeLapsedBefore(millis(11)))
        assertIs<Placement.NoUpstream>(balancer.choose(query, millis(20)))
    }

    @Test
    fun `an upstream that fails more often than the others gets fewer requests`() {
        register("u1")
        register("u2")
        repeat(30) {
            balancer.upstreams.forEach { entry ->
                balancer.onRequestSent(entry, 0, 0)
                balancer.onRequestFinished(entry, entry.upstream.id.value == "u1", 0)
            }
        }
        assertEquals("u2", chosen(query).upstream.id.value)
    }

    @Test
    fun `an upstream that failed is used again some time after its last request`() {
        register("u1")
        register("u2")
        val failing = balancer.upstreams.first()
        repeat(30) {
            balancer.onRequestSent(failing, 0, 0)
            balancer.onRequestFinished(failing, true, 0)
        }
        assertEquals(0, sharesOf(failing, millis(1_000)))
        assertTrue(sharesOf(failing, millis(20_000)) > 0)
    }

    @Test
    fun `an upstream whose address another process has taken gets nothing until its registration can have ended`() {
        register("u1")
        balancer.onReplaced(balancer.upstreams.single(), 0)
        assertIs<Placement.Busy>(balancer.choose(query, millis(4_999)))
        assertIs<Placement.Chosen>(balancer.choose(query, millis(5_000)))
    }

    @Test
    fun `a shortage tells full upstreams and the age of their figures from those that cannot be reached`() {
        listOf("u1", "u2", "u3").forEach { register(it) }
        val (full, unreachable, tried) = balancer.upstreams.toList()
        balancer.onLoadReported(full, 4, 2, millis(10))
        balancer.onUnreachable(unreachable, millis(20))
        val shortage = balancer.shortage(query.copy(tried = setOf(tried.upstream.id)), millis(30))
        val obstacles = mapOf(PlacementObstacle.FULL to 1, PlacementObstacle.UNREACHABLE to 1)
        assertEquals(PlacementShortage(1, obstacles, 0, Duration.ofMillis(20)), shortage)
    }

    @Test
    fun `an upstream that stated full slots gets a request once one of them can be free, and others only at that interval`() {
        register("u1")
        val entry = balancer.upstreams.single()
        repeat(20) {
            balancer.onRequestSent(entry, 0, 0)
            balancer.onRequestFinished(entry, false, 0, Duration.ofMillis(200))
        }
        balancer.onLoadReported(entry, 4, 1, millis(1_000))
        // Two of the five requests have to end; with four slots, that takes half the time of a request.
        assertIs<Placement.Busy>(balancer.choose(query, millis(1_099)))
        balancer.onRequestSent(assertIs<Placement.Chosen>(balancer.choose(query, millis(1_100))).upstream, 0, millis(1_100))
        assertIs<Placement.Busy>(balancer.choose(query, millis(1_249)))
        assertIs<Placement.Chosen>(balancer.choose(query, millis(1_250)))
    }

    @Test
    fun `a report of full slots keeps requests away for a second at most`() {
        register("u1")
        balancer.onLoadReported(balancer.upstreams.single(), 4, 1_000, 0)
        assertIs<Placement.Busy>(balancer.choose(query, millis(999)))
        assertIs<Placement.Chosen>(balancer.choose(query, millis(1_000)))
    }

    @Test
    fun `requests in flight of this instance keep others away for as long as they run`() {
        register("u1")
        repeat(4) { balancer.onRequestSent(balancer.upstreams.single(), 0, 0) }
        assertIs<Placement.Busy>(balancer.choose(query, millis(60_000)))
    }

    @Test
    fun `a high load is forgotten with time`() {
        register("u1")
        register("u2")
        val (first, second) = balancer.upstreams.toList()
        balancer.onLoadReported(first, 3, 0, 0)
        balancer.onLoadReported(second, 1, 0, millis(4_500))
        assertTrue(first.expectedLoad(0) > second.expectedLoad(millis(4_500)))
        assertEquals(first, assertIs<Placement.Chosen>(balancer.choose(query, millis(4_500))).upstream)
    }

    @Test
    fun `an upstream that leaves gets nothing when a restored store knows it as ready`() {
        register("u1", leaving = true)
        balancer.onStoreRestored(millis(100))
        registerAgain("u1", millis(100))
        assertIs<Placement.NoUpstream>(balancer.choose(query, millis(100)))
    }

    @Test
    fun `an upstream that is gone gets nothing while a restored store still has it`() {
        register("u1")
        balancer.onUnregistered(UpstreamId("u1"))
        balancer.onStoreRestored(millis(100))
        registerAgain("u1", millis(200))
        assertIs<Placement.Busy>(balancer.choose(query, millis(5_000)))
        assertIs<Placement.Chosen>(balancer.choose(query, millis(5_100)))
    }

    @Test
    fun `an upstream that has started again gets requests while a restored store still has its predecessor`() {
        register("u1", leaving = true)
        balancer.onUnregistered(UpstreamId("u1"))
        balancer.onStoreRestored(millis(100))
        balancer.onRegistered(ServingFixtures.upstream("u1").copy(bornMillis = 2), millis(200))
        assertIs<Placement.Chosen>(balancer.choose(query, millis(200)))
    }

    // Guards against full traffic for a cold upstream whose announcement the store has lost.
    @Test
    fun `an upstream that is cold stays so when a restored store knows it as warm`() {
        register("u1", coldFor = Duration.ofSeconds(4))
        balancer.onStoreRestored(millis(100))
        registerAgain("u1", millis(200))
        assertTrue(balancer.upstreams.single().isCold(millis(3_900)))
        assertFalse(balancer.upstreams.single().isCold(millis(5_000)))
    }

    @Test
    fun `an upstream that registers again without a restore gets requests at once`() {
        register("u1")
        balancer.onUnregistered(UpstreamId("u1"))
        registerAgain("u1", millis(200))
        assertIs<Placement.Chosen>(balancer.choose(query, millis(200)))
    }

    private fun registerAgain(
        id: String,
        nanos: Long,
    ) = balancer.onRegistered(ServingFixtures.upstream(id).copy(bornMillis = 1), nanos)

    private fun register(
        id: String,
        domain: String = "a",
        slots: Int = 4,
        leaving: Boolean = false,
        coldFor: Duration = Duration.ZERO,
    ) = balancer.onRegistered(ServingFixtures.upstream(id, domain, slots, leaving, coldFor).copy(bornMillis = 1), 0)

    private fun chosen(query: PlacementQuery): UpstreamEntry = assertIs<Placement.Chosen>(balancer.choose(query, 0)).upstream

    /** Number of a hundred different requests that would go to [entry]. */
    private fun sharesOf(
        entry: UpstreamEntry,
        nanos: Long,
    ): Int = (1L..100L).count { (balancer.choose(query.copy(tieBreak = it), nanos) as? Placement.Chosen)?.upstream === entry }

    private fun millis(count: Long): Long = Duration.ofMillis(count).toNanos()
}
