package io.buckthornlever.core.process

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.request.Hashing
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import java.time.Duration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ColdStartSharesTest {
    private val settings = RoutingSettings(growthHold = Duration.ofSeconds(10), startHold = Duration.ofSeconds(4))
    private val all = (1..9).map { InstanceId("e$it") }

    @Test
    fun `an instance that has just started has no share until the start hold is over`() {
        val shares = ColdStartShares(all[0], settings, 0)
        shares.onMembersChanged(listOf(all[0]), 0)
        assertEquals(0, shares.share(7, 4, seconds(3)))
        assertEquals(4, shares.share(7, 4, seconds(4)))
    }

    @Test
    fun `after the holds the shares of equal views sum up to the limit`() {
        for (total in 0..20) {
            val sum = all.sumOf { id -> settled(id).share(99, total, seconds(30)) }
            assertEquals(total, sum)
        }
    }

    /**
     * Guards against a sum above the limit while instances die, are replaced and are falsely taken for dead, and each instance
     * learns of a death up to nine seconds and of a start up to three seconds late.
     */
    @Property(seed = "23", tries = 60)
    fun `the sum stays within the limit while views differ`(
        @ForAll @IntRange(min = 1, max = 12) total: Int,
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val running = all.associateWith { settled(it) }.toMutableMap()
        val views = all.associateWith { all.toMutableSet() }.toMutableMap()
        val changes = mutableListOf<Pair<Long, () -> Unit>>()
        for (second in 20L until 140L) {
            if (second % 20 == 0L) changes += round(second, running, views, random)
            changes.filter { it.first == second }.forEach { it.second() }
            changes.removeAll { it.first == second }
            running.forEach { (id, shares) -> shares.onMembersChanged(views.getValue(id), seconds(second)) }
            val sum = running.values.sumOf { it.share(99, total, seconds(second)) }
            assertTrue(sum <= total, "$sum of $total at $second s")
        }
    }

    private fun round(
        start: Long,
        running: MutableMap<InstanceId, ColdStartShares>,
        views: MutableMap<InstanceId, MutableSet<InstanceId>>,
        random: Random,
    ): List<Pair<Long, () -> Unit>> {
        val changes = mutableListOf<Pair<Long, () -> Unit>>()
        for (id in all.shuffled(random).take(3)) {
            if (id !in running) {
                running[id] = ColdStartShares(id, settings, seconds(start))
                views[id] = (running.keys + id).toMutableSet()
                all.forEach { o -> changes += start + random.nextLong(0, 4) to { views.getValue(o).add(id) } }
            } else if (random.nextBoolean() && running.size > 2) {
                running.remove(id)
                all.forEach { o -> if (o != id) changes += start + random.nextLong(0, 10) to { views.getValue(o).remove(id) } }
            } else {
                val observer = all.filter { it != id }.random(random)
                changes += start + random.nextLong(0, 5) to { views.getValue(observer).remove(id) }
                changes += start + random.nextLong(5, 10) to { if (id in running) views.getValue(observer).add(id) }
            }
        }
        return changes
    }

    /** Guards against members that are forgotten too early or kept too long. */
    @Property(seed = "24", tries = 100)
    fun `agrees with a division among all members of a list of views`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 0, max = 12) total: Int,
    ) {
        val random = Random(seed)
        val shares = ColdStartShares(all[0], settings, 0)
        val views = mutableListOf<Pair<Long, List<InstanceId>>>()
        var now = 0L
        repeat(30) {
            now += random.nextLong(1, 6)
            val view = (all.filter { random.nextInt(4) > 0 } + all[0]).distinct()
            shares.onMembersChanged(view, seconds(now))
            views += now to view
            val counting = views.indices.filter { i -> i == views.lastIndex || views[i + 1].first > now - 10 }
            val order = counting.flatMap { views[it].second }.distinct().sortedByDescending { Hashing.combine(5, Hashing.hash(it.value)) }
            val expected = (0 until total).count { order[it % order.size] == all[0] }
            if (now >= 4) assertEquals(expected, shares.share(5, total, seconds(now)))
        }
    }

    private fun settled(id: InstanceId): ColdStartShares = ColdStartShares(id, settings, 0).also { it.onMembersChanged(all, 0) }

    private fun seconds(value: Long): Long = Duration.ofSeconds(value).toNanos()
}
