package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.serving.VersionOrder
import io.buckthornlever.api.version.MoveState
import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.api.version.VersionLabel
import java.time.Duration
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class VersionOrdersTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val order = VersionOrder("s", VersionLabel("v2"), Duration.ofSeconds(60))
    private val avoiding = VersionChoice.Avoiding(order.target)

    private fun orders(self: String = "a") = VersionOrders(InstanceId(self), SHARE_PERCENT) { Duration.ofMillis(500) }

    private fun lease(now: Instant) = HeldLease(1, now.plusSeconds(10))

    /** Runs the lease holder [holder] until it has recorded the start of its move in an empty store. */
    private fun recordStart(
        holder: VersionOrders,
        now: Instant,
    ): MoveStatus {
        holder.tick(now, lease(now)) { true }
        holder.onStatusRead(PoolName("s"), null, ObjectVersion(1))
        val write = holder.tick(now, lease(now)) { true }.filterIsInstance<MoveCommand.WriteStatus>().single()
        holder.onStatusWritten(write.status, ObjectVersion(2))
        holder.tick(now, lease(now)) { true }
        return write.status
    }

    @Test
    fun `an ordered version is avoided until the lease holder has recorded a share for it`() {
        val holder = orders()
        assertEquals(VersionChoice.Any, holder.choice("s", true))
        assertTrue(holder.onOrder(order, null))
        assertEquals(avoiding, holder.choice("s", true))
        holder.tick(start, null) { true }
        assertEquals(avoiding, holder.choice("s", true))

        val status = recordStart(holder, start)
        assertEquals(VersionChoice.Preferring(order.target), holder.choice("s", true))
        assertEquals(avoiding, holder.choice("s", false))

        val other = orders("b")
        other.onOrder(order, status)
        other.tick(start, null) { true }
        assertEquals(VersionChoice.Preferring(order.target), other.choice("s", true))
    }

    @Test
    fun `a restored store that has lost the record of a move gets it again and the move goes on`() {
        val holder = orders()
        holder.onOrder(order, null)
        val recorded = recordStart(holder, start)
        holder.onStoreRestored()
        assertFalse(holder.onOrder(order, null))
        val later = start.plusSeconds(3)
        assertTrue(holder.tick(later, lease(later)) { true }.any { it is MoveCommand.ReadStatus })
        holder.onStatusRead(PoolName("s"), null, ObjectVersion(3))
        val write = holder.tick(later, lease(later)) { true }.filterIsInstance<MoveCommand.WriteStatus>().single()
        assertEquals(recorded.move, write.status.move)
        assertEquals(ObjectVersion(3), write.expected)
    }

    @Test
    fun `each route gives the ordered version its share of the requests`() {
        val holder = orders()
        holder.onOrder(order, null)
        recordStart(holder, start)
        val drawn = (1..1_000).count { holder.draw("s", RouteName("r")) }
        assertTrue(drawn in SHARE_PERCENT * 10 - 1..SHARE_PERCENT * 10 + 1, "$drawn")
        assertFalse(holder.draw("other", RouteName("r")))
    }

    @Test
    fun `a new lease holder continues the move of its predecessor`() {
        val first = orders()
        first.onOrder(order, null)
        val recorded = recordStart(first, start)

        val second = orders("b")
        second.onOrder(order, null)
        val later = start.plusSeconds(3)
        second.tick(later, lease(later)) { true }
        second.onStatusRead(PoolName("s"), recorded, ObjectVersion(2))
        second.tick(later, lease(later)) { true }
        assertEquals(listOf(recorded.move), second.statuses.map { it.move })
    }

    @Test
    fun `a version that was rolled back is avoided until its order is given again`() {
        val holder = orders()
        holder.onOrder(order, null)
        val recorded = recordStart(holder, start)
        holder.onOrder(order, recorded.copy(state = MoveState.ROLLED_BACK, sharePermille = 0, sequence = 2))
        holder.tick(start, null) { true }
        assertEquals(avoiding, holder.choice("s", true))

        holder.onOrder(order, null)
        val later = start.plusSeconds(30)
        val again = recordStart(holder, later)
        assertEquals(later.toString(), again.move.startAt)
        assertEquals(VersionChoice.Preferring(order.target), holder.choice("s", true))

        holder.onWithdrawn("s")
        assertEquals(VersionChoice.Any, holder.choice("s", true))
    }

    @Test
    fun `a version with too few upstreams keeps the first share and is rolled back before the time of the order`() {
        val holder = orders()
        holder.onOrder(order, null)
        recordStart(holder, start)
        var ended: MoveStatus? = null
        var revision = 2L
        for (second in 1..order.duration.seconds) {
            val now = start.plusSeconds(second)
            holder.tick(now, lease(now)) { false }.filterIsInstance<MoveCommand.WriteStatus>().forEach {
                holder.onStatusWritten(it.status, ObjectVersion(++revision))
            }
            ended = holder.statuses.single()
            if (ended.state != MoveState.IN_PROGRESS) break
            assertEquals(SHARE_PERCENT * 10, ended.sharePermille)
        }
        assertEquals(MoveState.ROLLED_BACK, ended?.state)
        assertTrue("the new version has too few upstreams" in ended?.reasons.orEmpty(), "$ended")
    }

    private companion object {
        const val SHARE_PERCENT = 8
    }
}
