package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.process.CallOutcome
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.process.UpstreamHealth
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RequestRouterTest {
    private val clock = ManualClock()
    private val router = router("e1")
    private val reported = HashMap<RequestRouter, HashSet<UpstreamId>>()
    private val prefix = longArrayOf(11, 12, 13, 14)

    @Test
    fun `instances choose the same upstream for a prefix without communication, whatever the order of the table`() {
        val specs = (1..200).map { Fixtures.spec("u$it", listOf("a", "b", "c")[it % 3]) }
        val other = router("e2")
        put(router, Fixtures.configuration(specs))
        put(other, Fixtures.configuration(specs.reversed()))
        for (key in 1L..50L) {
            val request = RoutingRequest(Fixtures.route(), longArrayOf(key * 7919))
            assertEquals(chosen(router, request).upstream.id, chosen(other, request).upstream.id)
        }
    }

    @Test
    fun `a domain taken out, a version and a domain not allowed get nothing and are explained`() {
        val specs =
            listOf(
                Fixtures.spec("out", "a"),
                Fixtures.spec("foreign", "d"),
                Fixtures.spec("old", "b", "v0"),
                Fixtures.spec("good", "b"),
            )
        val pool =
            Pool(
                Fixtures.POOL,
                ServiceKind.MODEL,
                failureDomains = listOf(FailureDomain("a"), FailureDomain("b")),
                versions = listOf(VersionLabel("v1")),
            )
        put(router, Fixtures.configuration(specs, out = listOf("a"), pool = pool))
        val selection = chosen(router, request())
        assertEquals("good", selection.upstream.id.value)
        assertEquals(
            setOf(Verdict.DOMAIN_OUT, Verdict.DOMAIN_NOT_ALLOWED, Verdict.VERSION_NOT_ALLOWED),
            selection.explanation.exclusions
                .map { it.verdict }
                .toSet(),
        )
    }

    @Test
    fun `leaving and dead upstreams get nothing, also when a report announces the end`() {
        configure(3)
        router.leavingAnnounced(UpstreamId("u1"))
        router.onLoadReported(UpstreamId("u2"), Fixtures.report(0, 8, clock.now(), leaving = true))
        repeat(8) { assertEquals("u3", chosen(router, request(spread = it.toLong())).upstream.id.value) }
        router.onHealthChanged(UpstreamId("u3"), UpstreamHealth.DOWN)
        assertIs<Selection.NoUpstream>(router.select(request()))
    }

    @Test
    fun `a suspect upstream is the last resort and never runs work that may run only once`() {
        configure(2)
        router.onHealthChanged(UpstreamId("u1"), UpstreamHealth.SUSPECT)
        repeat(8) { assertEquals("u2", chosen(router, request(spread = it.toLong())).upstream.id.value) }
        assertEquals("u1", chosen(router, request()).upstream.id.value)
        assertIs<Selection.AtCapacity>(router.select(request(WorkClass.NON_REPEATABLE)))
    }

    @Test
    fun `the load estimate replaces own dispatches that a lagging report already contains`() {
        configure(1)
        repeat(4) { chosen(router, request()) }
        clock.advance(Duration.ofSeconds(1))
        val measured = clock.now()
        clock.advance(Duration.ofSeconds(1))
        repeat(2) { chosen(router, request()) }
        router.onLoadReported(UpstreamId("u1"), Fixtures.report(5, 8, measured))
        assertEquals(listOf(7), loads())
        router.onLoadReported(UpstreamId("u1"), Fixtures.report(0, 8, measured.minusSeconds(1)))
        assertEquals(listOf(7), loads(), "an older report must not replace a newer one")
    }

    @Test
    fun `a full upstream is not used, and long work leaves room for interactive work`() {
        put(router, Fixtures.configuration(listOf(Fixtures.spec("u1", concurrency = 10))))
        val long = generateSequence { router.select(request(WorkClass.LONG)) }.takeWhile { it is Selection.Chosen }.count()
        val interactive = generateSequence { router.select(request()) }.takeWhile { it is Selection.Chosen }.count()
        assertEquals(9, long)
        assertEquals(1, interactive)
        assertEquals(listOf(Verdict.CONCURRENCY_LIMIT), router.explain(request()).explanation.candidates.map { it.verdict })
    }

    @Test
    fun `the cheaper tier is filled to the target before the dearer one is used`() {
        put(router, Fixtures.configuration(listOf(Fixtures.spec("dear", price = 3.0), Fixtures.spec("cheap", price = 1.0))))
        val order = (1..10).map { chosen(router, request(spread = it.toLong())).upstream.id.value }
        assertEquals(List(5) { "cheap" } + List(5) { "dear" }, order)
    }

    @Test
    fun `a cold upstream takes this instance's share only, also when it became cold without announcement`() {
        configure(1, concurrency = 8)
        router.onMembersChanged(listOf(InstanceId("e1")))
        clock.advance(Duration.ofSeconds(11))
        router.onLoadReported(UpstreamId("u1"), Fixtures.report(0, 8, clock.now()))
        repeat(4) { chosen(router, request()) }
        repeat(3) { router.onCallFinished(UpstreamId("u1"), CallOutcome.Refused) }
        assertEquals(RoutingEvent.BecameCold(UpstreamId("u1")), router.nextEvent())
        chosen(router, request())
        assertIs<Selection.AtCapacity>(router.select(request()))
        assertEquals(listOf(Verdict.COLD_LIMIT), router.explain(request()).explanation.candidates.map { it.verdict })
    }

    @Test
    fun `a report measured before the upstream became cold does not end the ramp`() {
        configure(1, concurrency = 8)
        router.onMembersChanged(listOf(InstanceId("e1"), InstanceId("e2")))
        clock.advance(Duration.ofSeconds(20))
        router.onLoadReported(UpstreamId("u1"), Fixtures.report(0, 8, clock.now()))
        router.coldAnnounced(UpstreamId("u1"))
        router.onLoadReported(UpstreamId("u1"), Fixtures.report(0, 8, clock.now().minusSeconds(1)))
        chosen(router, request())
        assertIs<Selection.AtCapacity>(router.select(request()))
    }

    /** Guards against owners that all fill a cold upstream while requests of non-owners from its warm time still run. */
    @Test
    fun `while requests from the warm time run, only the rest of the cold limit is divided`() {
        val ids = listOf(InstanceId("e1"), InstanceId("e2"), InstanceId("e3"))
        val routers = ids.map { RequestRouter(it, clock) }
        routers.forEach { instance ->
            instance.configure(Fixtures.configuration(listOf(Fixtures.spec("u1"))))
            instance.onMembersChanged(ids)
        }
        clock.advance(Duration.ofSeconds(5))
        routers.forEach { it.onLoadReported(UpstreamId("u1"), Fixtures.report(0, 8, clock.now())) }
        clock.advance(Duration.ofSeconds(1))
        val started =
            routers.sumOf { instance ->
                instance.onLoadReported(UpstreamId("u1"), Fixtures.report(2, 3, clock.now(), cold = true))
                generateSequence { instance.select(request()) }.takeWhile { it is Selection.Chosen }.count()
            }
        assertEquals(1, started)
    }

    /** Guards against a new instance that takes a cold upstream for a warm one until its first report arrives. */
    @Test
    fun `an upstream that has not reported yet counts as cold`() {
        router.configure(Fixtures.configuration(listOf(Fixtures.spec("u1"))))
        router.onMembersChanged(listOf(InstanceId("e1")))
        assertIs<Selection.AtCapacity>(router.select(request()))
        clock.advance(Duration.ofSeconds(10))
        assertIs<Selection.AtCapacity>(router.select(request()))
        router.onLoadReported(UpstreamId("u1"), Fixtures.report(2, 8, clock.now()))
        chosen(router, request())
    }

    @Test
    fun `a version with a small weight does not stand in for the other one, a heavier one does`() {
        val specs = listOf(Fixtures.spec("old", version = "v1"), Fixtures.spec("new", version = "v2"))
        put(router, Fixtures.configuration(specs))
        router.versionWeights(Fixtures.POOL, mapOf(VersionLabel("v1") to 95.0, VersionLabel("v2") to 5.0))
        router.onHealthChanged(UpstreamId("new"), UpstreamHealth.DOWN)
        repeat(5) { assertEquals("old", chosen(router, request(spread = it.toLong())).upstream.id.value) }
        router.onHealthChanged(UpstreamId("new"), UpstreamHealth.HEALTHY)
        router.onHealthChanged(UpstreamId("old"), UpstreamHealth.DOWN)
        val toNew = (1..100).count { router.select(request(spread = it.toLong())) is Selection.Chosen }
        assertTrue(toNew <= 6, "$toNew of 100 requests went to the version with weight 5")
        router.versionWeights(Fixtures.POOL, mapOf(VersionLabel("v1") to 1.0))
        assertIs<Selection.NoUpstream>(router.select(request()))
    }

    @Test
    fun `cache events correct the order as long as the holder is below the target`() {
        configure(4)
        val request = RoutingRequest(Fixtures.route(), prefix)
        val hashed = (router.explain(request) as Selection.Chosen).upstream.id
        val other = UpstreamId(if (hashed.value == "u1") "u2" else "u1")
        router.onBlockStored(other, prefix.last())
        assertEquals(other, (router.explain(request) as Selection.Chosen).upstream.id)
        router.onBlockEvicted(other, prefix.last())
        assertEquals(hashed, (router.explain(request) as Selection.Chosen).upstream.id)
    }

    @Test
    fun `a retry avoids upstreams that were tried, and requests in flight survive a new table`() {
        configure(2)
        val first = chosen(router, request()).upstream.id
        val second = chosen(router, RoutingRequest(Fixtures.route(), tried = listOf(first))).upstream.id
        assertTrue(first != second)
        put(router, Fixtures.configuration(listOf(Fixtures.spec("u1"), Fixtures.spec("u2")), revision = 2))
        assertEquals(listOf(1, 1), loads())
        router.onCallFinished(first, CallOutcome.Abandoned)
        assertEquals(setOf(0, 1), loads().toSet())
    }

    /** Guards against nine instances that all fill the same room which one lagging report shows, as in the overload experiment. */
    @Test
    fun `under contention the instances divide the room that a report shows`() {
        val ids = (1..9).map { InstanceId("e$it") }
        val routers = ids.map { RequestRouter(it, clock) }
        routers.forEach { instance ->
            put(instance, Fixtures.configuration(listOf(Fixtures.spec("u1", concurrency = 18))))
            instance.onMembersChanged(ids)
            instance.onLoadReported(UpstreamId("u1"), Fixtures.report(18, 18, clock.now()))
            assertIs<Selection.AtCapacity>(instance.select(request()))
        }
        clock.advance(Duration.ofSeconds(1))
        var started = 0
        for (instance in routers) {
            instance.onLoadReported(UpstreamId("u1"), Fixtures.report(9, 18, clock.now()))
            started += generateSequence { instance.select(request()) }.takeWhile { it is Selection.Chosen }.count()
        }
        assertTrue(started in 5..13, "$started requests for 9 free places")
    }

    private fun loads(): List<Int> = router.explain(request()).explanation.candidates.map { it.load }

    private fun configure(
        count: Int,
        concurrency: Int = 8,
    ) = put(router, Fixtures.configuration((1..count).map { Fixtures.spec("u$it", concurrency = concurrency) }))

    /** Puts the tables into effect and lets all upstreams report that they are idle. */
    private fun put(
        router: RequestRouter,
        configuration: Configuration,
    ) {
        router.configure(configuration)
        for (spec in configuration.pools.pools.flatMap { it.upstreams }) {
            if (spec.id !in reported.getOrPut(router) { HashSet() }) {
                router.onLoadReported(spec.id, Fixtures.report(0, spec.concurrency, clock.now()))
                reported.getValue(router) += spec.id
            }
        }
    }

    private fun router(id: String) = RequestRouter(InstanceId(id), clock)

    private fun request(
        work: WorkClass = WorkClass.INTERACTIVE,
        spread: Long = 0,
    ) = RoutingRequest(Fixtures.route(work), spread = spread)

    private fun chosen(
        from: RequestRouter,
        request: RoutingRequest,
    ): Selection.Chosen = assertIs<Selection.Chosen>(from.select(request))
}
