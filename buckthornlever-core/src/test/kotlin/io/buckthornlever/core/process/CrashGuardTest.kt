package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.request.RequestId
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

internal class CrashGuardTest {
    private val content = Fingerprint.of("POST", "/v1/completions", "crash".toByteArray())
    private val order = RendezvousOrder.of(content.value, (1..6).map { UpstreamId("u$it") })

    private fun ledger(steps: List<Int>): CrashLedger =
        steps.map { it.mod(31) }.fold(CrashLedger()) { ledger, step ->
            if (step % 5 == 0) ledger.excuse(order[step % 6], step * 900L) else ledger.record(content, order[step % 6], step * 1_000L)
        }

    // Guards against counts that depend on the order or repetition of gossip.
    @Property(seed = "1", tries = 300)
    fun `merge is commutative, associative and idempotent`(
        @ForAll @Size(max = 6) a: List<
            @IntRange(min = 0, max = 30)
            Int,
        >,
        @ForAll @Size(max = 6) b: List<
            @IntRange(min = 0, max = 30)
            Int,
        >,
        @ForAll @Size(max = 6) c: List<
            @IntRange(min = 0, max = 30)
            Int,
        >,
    ) {
        val (x, y, z) = listOf(a, b, c).map(::ledger)
        assertEquals(x.merge(y), y.merge(x))
        assertEquals(x.merge(y).merge(z), x.merge(y.merge(z)))
        assertEquals(x.merge(y), x.merge(y).merge(y))
    }

    // Guards against one death being counted by every instance that saw it, and against a restart hiding a second death.
    @Test
    fun `observations of one death count once and a later death counts again`() {
        val seen = CrashLedger().record(content, order[0], 1_000).merge(CrashLedger().record(content, order[0], 3_000))
        assertEquals(1, seen.lostUpstreams(content, 4_000).size)
        assertEquals(2, seen.record(content, order[0], 20_000).lostUpstreams(content, 21_000).size)
        assertEquals(0, seen.lostUpstreams(content, 4_000 + CrashLedger.TTL_MILLIS).size)
        assertEquals(0, seen.excuse(order[0], 2_000).lostUpstreams(content, 4_000).size)
    }

    // Guards against two attempts of a quarantined content at once.
    @Test
    fun `the owner grants one attempt at a time and refuses after two losses`() {
        val owner = CrashGuard(InstanceId("e1")).withDeath(content, order[0], 0)
        val first = owner.grant(content, RequestId("a"), order, CrashLedger(), 1, 60_000)
        assertEquals(CrashAdmission.Run(listOf(order[1])), first.admission)
        val second = first.guard.grant(content, RequestId("b"), order, CrashLedger(), 2, 60_000)
        assertEquals(CrashAdmission.Busy, second.admission)
        val dead = second.guard.release(content, RequestId("a"), CrashLedger().record(content, order[1], 6_000))
        assertIs<CrashAdmission.Refuse>(dead.grant(content, RequestId("b"), order, CrashLedger(), 6_001, 60_000).admission)
    }

    // Guards against innocent requests that wait because another failure took one preferred upstream.
    @Test
    fun `one unreachable upstream of unknown cause delays nothing`() {
        val owner = CrashGuard(InstanceId("e1")).withUnreachable(order[0], 0)
        assertEquals(CrashAdmission.AskOwner(InstanceId("e1")), owner.admit(content, order, listOf(InstanceId("e1")), 1))
        val step = owner.grant(content, RequestId("a"), order, CrashLedger(), 1, 60_000)
        assertEquals(CrashAdmission.Run(listOf(order[1])), step.admission)
    }

    // Guards against innocent requests that wait because a crashing content took two upstreams, theirs or others.
    @Test
    fun `deaths of other upstreams and deaths with a known cause delay nothing`() {
        val others = CrashGuard(InstanceId("e1")).withUnreachable(order[2], 0).withUnreachable(order[3], 0)
        assertEquals(CrashAdmission.Run(order.take(2)), others.admit(content, order, emptyList(), 1))
        val one = others.withUnreachable(order[0], 0).grant(content, RequestId("a"), order, CrashLedger(), 1, 60_000)
        assertEquals(CrashAdmission.Run(listOf(order[1])), one.admission)
        val crasher = Fingerprint.of("POST", "/", "other".toByteArray())
        val explained = CrashGuard(InstanceId("e1")).withDeath(crasher, order[0], 0).withDeath(crasher, order[1], 0)
        assertEquals(
            CrashAdmission.Run(listOf(order[2])),
            explained.grant(content, RequestId("a"), order, CrashLedger(), 1, 60_000).admission,
        )
    }

    // Guards against a third lost upstream when instances with stale views receive the same content at the same time.
    @Property(seed = "2", tries = 500)
    fun `at most two upstreams are lost over all instances in any interleaving`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 9) instances: Int,
    ) {
        val world = CrashWorld(Random(seed), instances, order, content)
        repeat(ACTIONS) { world.act(it) }
        assertTrue(world.dead.size <= 2, "lost ${world.dead}")
    }

    private companion object {
        const val ACTIONS = 600
    }
}
