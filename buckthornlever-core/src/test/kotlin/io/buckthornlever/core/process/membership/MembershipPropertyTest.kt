package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.InstanceId
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MembershipPropertyTest {
    /** Guards against a claim whose effect depends on the order in which gossip arrives. */
    @Property(seed = "11", tries = 200)
    fun `claims about members that are not live merge the same in any order and number`(
        @ForAll("claims") claims: List<MemberUpdate>,
        @ForAll seed: Long,
    ) {
        val gone = claims.map { if (it.state.isLive) it.copy(state = MemberState.LEFT) else it }
        assertEquals(merged(gone), merged((gone + gone).shuffled(Random(seed))))
    }

    /** Guards against a crash or an unbounded answer on arbitrary input, and against an instance that accepts its own death. */
    @Property(seed = "12", tries = 300)
    fun `arbitrary events leave the instance alive and consistent`(
        @ForAll("claims") claims: List<MemberUpdate>,
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val node = Membership(Cluster.address(0), 1, MembershipSettings(), random)
        var nanos = 0L
        claims.forEach { claim ->
            nanos += random.nextLong(3_000_000_000)
            val news = PeerMessage.News(claim, TableRevisions(random.nextLong()), claims.shuffled(random).take(4))
            val messages =
                listOf(
                    PeerMessage.Ping(1, news),
                    PeerMessage.Ack(random.nextLong(5), claim.address, news),
                    PeerMessage.PingRequest(2, claim.address, news),
                )
            val moment = Moment(nanos, nanos / 1_000_000)
            node.handle(MembershipEvent.Received(claim.address.id, messages.random(random)), moment)
            node.handle(MembershipEvent.Tick, moment)
            assertEquals(MemberState.ALIVE, node.ownUpdate.state)
            assertEquals(node.liveAddresses().size + 1, node.liveCount)
            assertTrue(node.liveAddresses().zipWithNext().all { (a, b) -> a.id < b.id })
        }
    }

    /** Guards against an offset that makes an instance probe itself or leaves a member out. */
    @Property(seed = "13", tries = 200)
    fun `in each period every member is probed exactly once`(
        @ForAll period: Long,
        @ForAll("sizes") size: Int,
    ) {
        val probed = (0 until size).map { position ->
            val index = ProbeRing.target(period, position, size - 1)
            if (index < position) index else index + 1
        }
        assertEquals((0 until size).toList(), probed.sorted())
        assertTrue(probed.withIndex().none { it.index == it.value })
    }

    @Provide
    fun sizes(): Arbitrary<Int> = Arbitraries.integers().between(2, 60)

    @Provide
    fun claims(): Arbitrary<List<MemberUpdate>> =
        Combinators.combine(
            Arbitraries.integers().between(0, 6),
            Arbitraries.longs().between(0, 4),
            Arbitraries.of(MemberState::class.java),
        )
            .`as` { index, incarnation, state -> MemberUpdate(Cluster.address(index), incarnation, state) }
            .list().ofMinSize(1).ofMaxSize(25)

    private fun merged(claims: List<MemberUpdate>): Map<InstanceId, MemberUpdate> {
        val node = Membership(Cluster.address(999), 1, MembershipSettings(), Random(1))
        claims.forEach { node.handle(MembershipEvent.MembersReceived(listOf(it)), Moment(0, 0)) }
        return node.allUpdates().associateBy { it.address.id }
    }
}
