package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.version.MoveState
import io.buckthornlever.api.version.MoveStatus
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import java.time.Instant
import java.util.SplittableRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

internal class VersionMovesTest {
    /** Object store with one record that executes the lease holder's calls; [losesResponse] decides whether a write's response is lost. */
    private class Store(
        private val losesResponse: () -> Boolean = { false },
    ) {
        var status: MoveStatus? = null
        var version: ObjectVersion? = null

        fun execute(
            moves: VersionMoves,
            commands: List<MoveCommand>,
        ) = commands.forEach { command ->
            when (command) {
                is MoveCommand.ReadStatus -> moves.onStatusRead(command.pool, status, version)
                is MoveCommand.WriteStatus -> moves.onStatusWritten(command.status, write(command))
                else -> Unit
            }
        }

        private fun write(command: MoveCommand.WriteStatus): ObjectVersion? {
            if (command.expected != version) return null
            status = command.status
            version = ObjectVersion((version?.value ?: 0) + 1)
            return if (losesResponse()) null else version
        }
    }

    private fun share(
        moves: VersionMoves,
        now: Instant,
    ): Int = moves.weights(now).getValue(MoveFixture.POOL).newPermille

    private fun observeAttempts(
        moves: VersionMoves,
        now: Instant,
        failed: Boolean,
    ) = repeat(40) { moves.observe(MoveFixture.outcome(it % 4 == 0, failed && it % 4 == 0), now) }

    @Property(tries = 30, seed = "13")
    fun `a good move finishes in time although answers get lost and the holder changes`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = SplittableRandom(seed)
        val store = Store { random.nextInt(3) == 0 }
        val change = MoveFixture.START.plusSeconds(random.nextLong(0, 580))
        val holders = listOf(MoveFixture.moves("a"), MoveFixture.moves("b"))
        var now = MoveFixture.START.minusSeconds(5)
        var largestShare = 0
        while (now <= MoveFixture.DUE) {
            holders.forEach { moves -> repeat(40) { moves.observe(MoveFixture.outcome(it * 25 < share(moves, now)), now) } }
            val second = now >= change
            val holder = holders[if (second) 1 else 0]
            if (now < change ||
                now >= change.plusSeconds(6)
            ) {
                store.execute(holder, holder.tick(now, MoveFixture.lease(now, if (second) 2 else 1)))
            }
            assertTrue((store.status?.sharePermille ?: 0) >= largestShare, "the share must not fall without a fault")
            largestShare = store.status?.sharePermille ?: 0
            now = now.plusMillis(1_000)
        }
        assertEquals(MoveState.DONE, store.status?.state, "holder change at $change, ${store.status}")
    }

    @Test
    fun `without a record of the holder the new version gets nothing`() {
        val moves = MoveFixture.moves()
        val now = MoveFixture.START.plusSeconds(60)
        moves.tick(now, null)
        assertEquals(0, share(moves, now))
    }

    @Test
    fun `a bad version is stopped without the store and on a peer that has no evidence of its own`() {
        val moves = MoveFixture.moves("a")
        val peer = MoveFixture.moves("b")
        val now = MoveFixture.START.plusSeconds(60)
        val record = MoveStatus(MoveFixture.ID, MoveState.IN_PROGRESS, 50, MoveFixture.START.toString(), 1, 1)
        listOf(moves, peer).forEach { it.mergeStatus(record) }
        observeAttempts(moves, now, failed = true)
        val stop = moves.tick(now, null).filterIsInstance<MoveCommand.GossipStop>().first().stop
        peer.mergeStop(stop)
        assertEquals(listOf(0, 0), listOf(moves, peer).map { share(it, now) })
    }

    @Test
    fun `evidence split over nine instances is enough for a stop once merged`() {
        val all = List(9) { MoveFixture.moves("i$it") }
        val now = MoveFixture.START.plusSeconds(60)
        all.forEach { moves -> repeat(40) { moves.observe(MoveFixture.outcome(it == 0, failed = it == 0), now) } }
        val deltas = all.flatMap { it.tick(now, null) }
        assertTrue(deltas.none { it is MoveCommand.GossipStop }, "one failure on one instance is no proof")
        deltas.filterIsInstance<MoveCommand.SendEvidence>().forEach { command -> all.forEach { it.mergeEvidence(command.delta, now) } }
        assertTrue(all.all { moves -> moves.tick(now.plusMillis(250), null).any { it is MoveCommand.GossipStop } })
    }

    @Test
    fun `a rollback is written by the next holder when the first one is lost`() {
        val store = Store()
        val first = MoveFixture.moves("a")
        var now = MoveFixture.START
        repeat(3) { store.execute(first, first.tick(now, MoveFixture.lease(now))) }
        observeAttempts(first, now, failed = true)
        val stop = first.tick(now, null).filterIsInstance<MoveCommand.GossipStop>().first().stop
        val second = MoveFixture.moves("b")
        second.mergeStop(stop)
        now = now.plusSeconds(10)
        repeat(3) { store.execute(second, second.tick(now, MoveFixture.lease(now, 2))) }
        val stored = assertNotNull(store.status)
        assertEquals(MoveState.ROLLED_BACK to 2L, stored.state to stored.fencing)
        assertTrue(stored.reasons.isNotEmpty())
    }

    @Test
    fun `a stop that arrives before the move is configured takes effect with the configuration`() {
        val moves = VersionMoves(InstanceId("c"))
        moves.updateTable(PoolTable(1))
        moves.mergeStop(VersionStop(MoveFixture.ID, "errors", MoveFixture.START.toString(), MoveFixture.SELF))
        moves.updateTable(MoveFixture.TABLE)
        moves.mergeStatus(MoveStatus(MoveFixture.ID, MoveState.IN_PROGRESS, 1_000, MoveFixture.START.toString(), 9, 9))
        assertEquals(0, share(moves, MoveFixture.START.plusSeconds(9)))
    }

    @Test
    fun `a holder whose lease has expired writes nothing`() {
        val moves = MoveFixture.moves()
        val now = MoveFixture.START.plusSeconds(1)
        moves.onStatusRead(MoveFixture.POOL, null, null)
        val commands = moves.tick(now, HeldLease(1, now))
        assertTrue(commands.none { it is MoveCommand.WriteStatus || it is MoveCommand.ReadStatus })
    }

    @Test
    fun `a version whose attempts never end does not get a larger share and is rolled back before the due time`() {
        val store = Store()
        val moves = MoveFixture.moves()
        var now = MoveFixture.START.minusSeconds(30)
        while (now <= MoveFixture.DUE) {
            repeat(40) { moves.observe(MoveFixture.outcome(new = false), now) }
            store.execute(moves, moves.tick(now, MoveFixture.lease(now)))
            val inTime = now < MoveFixture.DUE.minusSeconds(10)
            if (inTime) assertTrue((store.status?.sharePermille ?: 0) <= 50)
            if (inTime && now >= MoveFixture.DUE.minusSeconds(60)) assertTrue(store.status?.atRisk == true)
            now = now.plusSeconds(1)
        }
        assertEquals(MoveState.ROLLED_BACK, store.status?.state)
        assertEquals(0, store.status?.sharePermille)
        assertTrue(store.status?.reasons.orEmpty().any { it == "few attempts of the new version end" })
    }

    @Property(tries = 200, seed = "14")
    fun `records merge to the same result in any order`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = SplittableRandom(seed)
        val records =
            List(5) {
                val state = MoveState.entries[random.nextInt(3)]
                MoveStatus(
                    MoveFixture.ID,
                    state,
                    random.nextInt(1_001),
                    MoveFixture.START.toString(),
                    random.nextLong(3),
                    random.nextLong(3),
                )
            }
        val merged = records.reduce(MoveStatus::merge)
        assertEquals(merged, (records.reversed() + records).reduce(MoveStatus::merge))
        if (records.any { it.state == MoveState.ROLLED_BACK }) assertEquals(MoveState.ROLLED_BACK, merged.state)
    }

    @Test
    fun `the end of a move is reported once`() {
        val moves = MoveFixture.moves()
        moves.mergeStatus(MoveStatus(MoveFixture.ID, MoveState.DONE, 1_000, MoveFixture.START.toString(), 1, 1))
        val first = moves.tick(MoveFixture.DUE, null).filterIsInstance<MoveCommand.ReportEnd>()
        assertIs<MoveCommand.ReportEnd>(first.single())
        assertTrue(moves.tick(MoveFixture.DUE.plusSeconds(1), null).none { it is MoveCommand.ReportEnd })
    }
}
