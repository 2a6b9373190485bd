package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.api.version.VersionLabel
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import java.time.Instant
import java.util.SplittableRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class FailureDomainsTest {
    private val domains = listOf("d0", "d1", "d2").map { FailureDomain(it) }
    private val specs =
        List(9) {
            UpstreamSpec(UpstreamId("u$it"), "http://u$it", domains[it % 3], VersionLabel("v"), concurrency = 16, coldConcurrency = 2)
        }
    private val warm = UpstreamEvent.Reported(capacity = 16, cold = false, leaving = false)
    private var now = Instant.EPOCH
    private val state = FailureDomains().also { it.configure(table(), now) }

    init {
        reportAll()
    }

    private fun table(out: Collection<FailureDomain> = emptyList()): PoolTable =
        PoolTable(1, listOf(Pool(PoolName("p"), ServiceKind.PLAIN, specs)), out.toList())

    private fun reportAll() = specs.filter { state.phase(it.id) != UpstreamPhase.GONE }.forEach { state.onEvent(it.id, warm, now) }

    private fun seconds(
        count: Int,
        reports: Boolean = true,
    ): List<DomainCommand> =
        (1..count).flatMap {
            now = now.plusSeconds(1)
            if (reports) reportAll()
            state.tick(now)
        }

    private fun limits(domain: Int): List<Int> = specs.filter { it.failureDomain == domains[domain] }.map { state.limit(it.id) }

    @Test
    fun `a domain taken out gets no new work at once and its work in flight is finished or moved`() {
        state.configure(table(listOf(domains[1])), now)
        assertEquals(listOf(0, 0, 0), limits(1))
        assertEquals(3, seconds(1).filterIsInstance<DomainCommand.MoveWork>().size)
        assertTrue(seconds(5).isEmpty(), "the order to move work is given once")
    }

    @Test
    fun `a returned domain starts at its cold limit and doubles every five seconds`() {
        state.configure(table(listOf(domains[1])), now)
        seconds(30)
        state.configure(table(), now)
        val seen = (1..25).map { seconds(1).let { limits(1).first() } }.distinct()
        assertEquals(listOf(2, 4, 8, 16), seen)
    }

    @Test
    fun `two notices in a domain of three stop the third upstream as well`() {
        state.onEvent(specs[0].id, UpstreamEvent.ReclaimNotice(now.plusSeconds(10)), now)
        state.onEvent(specs[3].id, UpstreamEvent.ReclaimNotice(now.plusSeconds(10)), now)
        seconds(1)
        assertEquals(DomainPhase.RECLAIMED, state.phase(domains[0]))
        assertEquals(listOf(0, 0, 0), limits(0))
        assertEquals(listOf(16, 16, 16), limits(1))
    }

    @Test
    fun `an upstream that becomes cold again without notice falls to its cold limit`() {
        state.onEvent(specs[0].id, UpstreamEvent.Reported(capacity = 3, cold = true, leaving = false), now)
        assertEquals(2, state.limit(specs[0].id))
    }

    @Test
    fun `the limit does not grow without fresh load reports`() {
        state.configure(table(listOf(domains[1])), now)
        state.configure(table(), now)
        seconds(60, reports = false)
        assertEquals(2, limits(1).first())
    }

    @Test
    fun `a dead upstream is probed and returns cold`() {
        repeat(3) { state.onEvent(specs[4].id, UpstreamEvent.Failed, now) }
        assertEquals(listOf(DomainCommand.Probe(specs[4].id)), seconds(1).filterIsInstance<DomainCommand.Probe>())
        state.onEvent(specs[4].id, UpstreamEvent.Answered, now)
        assertEquals(UpstreamPhase.COLD, state.phase(specs[4].id))
    }

    @Test
    fun `during a loss long work is queued before lookups are`() {
        state.configure(table(listOf(domains[1])), now)
        assertEquals(
            listOf(false, true, true),
            listOf(WorkClass.LONG, WorkClass.INTERACTIVE, WorkClass.LOOKUP).map { state.admits(it, used = 80, available = 100) },
        )
    }

    @Property(tries = 100, seed = "21")
    fun `after any sequence of events no limit is above the one that a simple model allows`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = SplittableRandom(seed)
        var out = emptySet<FailureDomain>()
        val left = HashSet<UpstreamId>()
        repeat(150) {
            val id = specs[random.nextInt(specs.size)].id
            when (random.nextInt(8)) {
                0 -> {
                    out = if (random.nextBoolean()) setOf(domains[random.nextInt(3)]) else emptySet()
                    state.configure(table(out), now)
                }
                1 -> state.onEvent(id, UpstreamEvent.ReclaimNotice(now.plusSeconds(5)), now).also { left.add(id) }
                2 -> state.onEvent(id, UpstreamEvent.Unlisted, now).also { left.add(id) }
                3 -> state.onEvent(id, UpstreamEvent.Answered, now).also { if (state.phase(id) == UpstreamPhase.COLD) left.remove(id) }
                4 -> state.onEvent(id, UpstreamEvent.Failed, now)
                else -> report(id, random, left)
            }
            now = now.plusMillis(random.nextLong(0, 2_000))
            state.tick(now)
            checkLimits(out, left)
        }
    }

    private fun checkLimits(
        out: Set<FailureDomain>,
        left: Set<UpstreamId>,
    ) = specs.forEach { spec ->
        val leaving = spec.id in left && state.phase(spec.id) == UpstreamPhase.LEAVING
        val allowed = if (spec.failureDomain in out || leaving) 0 else 16
        assertTrue(state.limit(spec.id) <= allowed, "${spec.id} has ${state.limit(spec.id)}, allowed $allowed")
    }

    private fun report(
        id: UpstreamId,
        random: SplittableRandom,
        left: MutableSet<UpstreamId>,
    ) {
        val report = UpstreamEvent.Reported(random.nextInt(1, 20), random.nextInt(4) == 0, leaving = false)
        state.onEvent(id, report, now)
        if (state.phase(id) == UpstreamPhase.COLD) left.remove(id)
        if (report.cold) assertTrue(state.limit(id) <= 2, "cold upstream above its cold limit")
        assertTrue(state.limit(id) <= report.capacity, "above the reported capacity")
    }

    @Property(tries = 200, seed = "22")
    fun `shares of instances with different views never add up to more than the largest limit`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = SplittableRandom(seed)
        val live = List(random.nextInt(1, 12)) { InstanceId("i$it") }
        val limit = random.nextInt(0, 40)
        val upstream = UpstreamId("u${random.nextInt(1_000)}")
        assertEquals(limit, live.sumOf { LimitPartition.share(limit, upstream, it, live) })
        assertTrue(live.sumOf { LimitPartition.share(random.nextInt(0, limit + 1), upstream, it, live) } <= limit)
    }
}
