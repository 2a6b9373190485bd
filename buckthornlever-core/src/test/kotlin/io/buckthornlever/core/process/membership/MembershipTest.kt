package io.buckthornlever.core.process.membership

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class MembershipTest {
    @Test
    fun `instances that know one seed find all others`() {
        val cluster = Cluster(9)
        cluster.nodes.keys.forEach { cluster.send(it, MembershipEvent.SeedsListed(listOf(cluster.addresses[0]))) }
        cluster.run(Duration.ofSeconds(6))
        assertEquals(List(9) { 9 }, cluster.nodes.values.map { it.liveCount })
    }

    @Test
    fun `a leave reaches all members with a fifth of the messages lost`() {
        val cluster = Cluster(9, loss = 0.2)
        cluster.introduceAll()
        cluster.run(Duration.ofSeconds(2))
        cluster.send(cluster.addresses[3].id, MembershipEvent.LeaveRequested)
        cluster.run(Duration.ofSeconds(3))
        assertEquals(setOf(MemberState.LEFT), cluster.nodes.values.map { it.stateOf(cluster.addresses[3].id) }.toSet())
    }

    @Test
    fun `a dead member is dead for all within ten seconds and nobody else is`() {
        val cluster = Cluster(9, loss = 0.02)
        cluster.introduceAll()
        cluster.run(Duration.ofSeconds(2))
        val victim = cluster.addresses[5].id
        cluster.nodes.remove(victim)
        cluster.run(Duration.ofSeconds(10))
        assertEquals(setOf(MemberState.DEAD), cluster.nodes.values.map { it.stateOf(victim) }.toSet())
        assertEquals(setOf(8), cluster.nodes.values.map { it.liveCount }.toSet())
    }

    @Test
    fun `a resumed process refutes before it judges the others`() {
        val cluster = Cluster(5)
        cluster.introduceAll()
        cluster.run(Duration.ofSeconds(1))
        val paused = cluster.addresses[2].id
        cluster.frozen.add(paused)
        cluster.run(Duration.ofSeconds(30))
        assertEquals(MemberState.DEAD, cluster.node(0).stateOf(paused))
        cluster.frozen.clear()
        cluster.commands.clear()
        cluster.run(Duration.ofSeconds(15))
        val own = cluster.commands.getValue(paused)
        assertTrue(own.any { it is MembershipCommand.PauseDetected })
        assertTrue(own.none { it is MembershipCommand.MemberChanged && it.update.state == MemberState.SUSPECT })
        assertEquals(setOf(5), cluster.nodes.values.map { it.liveCount }.toSet())
    }

    @Test
    fun `two sides of a partition find each other again after an hour`() {
        val cluster = Cluster(10)
        cluster.introduceAll()
        cluster.run(Duration.ofSeconds(1))
        val left = cluster.addresses.take(5).map { it.id }.toSet()
        cluster.cut = { from, to -> (from in left) != (to in left) }
        cluster.run(Duration.ofHours(1))
        assertEquals(setOf(5), cluster.nodes.values.map { it.liveCount }.toSet())
        assertEquals(MemberAssessment.PARTITIONED, cluster.node(0).assess(cluster.addresses[9].id))
        cluster.cut = { _, _ -> false }
        cluster.run(Duration.ofSeconds(30))
        assertEquals(setOf(10), cluster.nodes.values.map { it.liveCount }.toSet())
    }

    @Test
    fun `an instance that is cut off alone does not make the others suspect each other when it returns`() {
        val cluster = Cluster(9)
        cluster.introduceAll()
        cluster.run(Duration.ofSeconds(1))
        val alone = cluster.addresses[4].id
        cluster.cut = { from, to -> from == alone || to == alone }
        cluster.run(Duration.ofSeconds(60))
        cluster.cut = { _, _ -> false }
        cluster.commands.clear()
        cluster.run(Duration.ofSeconds(30))
        val suspected = cluster.commands.values.flatten().filterIsInstance<MembershipCommand.MemberChanged>()
            .filter { it.update.state == MemberState.SUSPECT && it.update.address.id != alone }
        assertEquals(emptyList(), suspected)
        assertEquals(setOf(9), cluster.nodes.values.map { it.liveCount }.toSet())
    }

    @Test
    fun `a refused connection shortens the suspicion and an accepted one is taken for a pause`() {
        val cluster = Cluster(4)
        cluster.introduceAll()
        cluster.run(Duration.ofSeconds(1))
        val refused = cluster.addresses[1].id
        val paused = cluster.addresses[2].id
        cluster.frozen.addAll(listOf(refused, paused))
        while (listOf(refused, paused).any { cluster.node(0).stateOf(it) == MemberState.ALIVE }) cluster.run(Cluster.TICK)
        cluster.send(cluster.addresses[0].id, MembershipEvent.ConnectionTested(refused, ConnectionEvidence.REFUSED))
        cluster.send(cluster.addresses[0].id, MembershipEvent.ConnectionTested(paused, ConnectionEvidence.ACCEPTED_BUT_SILENT))
        assertEquals(MemberAssessment.PAUSED, cluster.node(0).assess(paused))
        cluster.run(Duration.ofSeconds(1))
        assertEquals(MemberState.DEAD, cluster.node(0).stateOf(refused))
        assertEquals(MemberAssessment.DEAD, cluster.node(0).assess(refused))
    }

    @Test
    fun `a silent connection to a member that answers probes is no reason to suspect the member`() {
        val cluster = Cluster(3)
        cluster.introduceAll()
        cluster.run(Duration.ofSeconds(1))
        val peer = cluster.addresses[1].id
        cluster.send(cluster.addresses[0].id, MembershipEvent.ConnectionSilent(peer))
        cluster.run(Duration.ofSeconds(3))
        assertEquals(MemberState.ALIVE, cluster.node(0).stateOf(peer))
        assertEquals(MemberAssessment.CONNECTION_SILENT, cluster.node(0).assess(peer))
        cluster.run(Duration.ofSeconds(31))
        assertEquals(MemberAssessment.REACHABLE, cluster.node(0).assess(peer))
    }

    @Test
    fun `a member told of its own death takes a higher incarnation`() {
        val cluster = Cluster(3)
        cluster.introduceAll()
        val accused = cluster.node(1).ownUpdate
        cluster.send(accused.address.id, MembershipEvent.MembersReceived(listOf(accused.copy(state = MemberState.DEAD))))
        assertNotEquals(accused.incarnation, cluster.node(1).ownUpdate.incarnation)
        assertEquals(MemberState.ALIVE, cluster.node(1).ownUpdate.state)
    }

    @Test
    fun `gossip stops after a bounded number of transmissions`() {
        val cluster = Cluster(9)
        cluster.introduceAll()
        cluster.send(cluster.addresses[0].id, MembershipEvent.RevisionsChanged(TableRevisions(routes = 4)))
        cluster.run(Duration.ofSeconds(5))
        cluster.commands.clear()
        cluster.run(Duration.ofSeconds(5))
        val gossip = cluster.commands.values.flatten().filter { it is MembershipCommand.Send && it.message is PeerMessage.Gossip }
        assertEquals(emptyList(), gossip)
    }
}
