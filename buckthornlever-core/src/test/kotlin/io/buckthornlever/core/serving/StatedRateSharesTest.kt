package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import java.time.Instant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against more requests from all instances together than the limit that an upstream names, and against leaving it unused. */
class StatedRateSharesTest {
    private val upstream = UpstreamId("u1")

    @Test
    fun `all instances together keep to the limit in every four seconds and use most of it`() {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val count = random.nextInt(1, 120)
            val perSecond = random.nextDouble(0.1, 30.0)
            val sent = play(count, perSecond, random)
            val most = sent.maxOf { from -> sent.count { it - from in 0 until WINDOW_MILLIS } }
            val allowed = 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5
            assertTrue(most <= allowed, "seed $seed: $most requests in 4 s, $count instances, limit $perSecond")
            assertTrue(sent.size >= 0.5 * perSecond * DAY_MILLIS / 1_000 - 1, "seed $seed: ${sent.size} requests, limit $perSecond")
        }
    }

    @Test
    fun `every one of many instances has a turn`() {
        val all = instances(95)
        val turns = all.map { self -> shares(self, all).let { own -> (0L until 200_000L step 500).any { own.isInTurn(it) } } }
        assertTrue(turns.all { it } && turns.size == 95)
    }

    @Test
    fun `an instance that has not listed the others sends nothing`() {
        assertNull(StatedRateShares(InstanceId("i1")).interval(upstream, 100.0, Instant.EPOCH))
    }

    @Test
    fun `an upstream that takes nothing is asked now and then`() {
        val all = instances(8)
        assertTrue(all.any { shares(it, all).isInTurn(0, perSecond = 0.0) })
    }

    private fun play(
        count: Int,
        perSecond: Double,
        random: Random,
    ): List<Long> {
        val all = instances(count)
        val shares = all.map { shares(it, all) }
        val lastSent = LongArray(count) { -random.nextLong(60_000) }
        val sent = ArrayList<Long>()
        for (at in 0L until DAY_MILLIS step 20) {
            shares.forEachIndexed { index, own ->
                val interval = own.interval(upstream, perSecond, Instant.ofEpochMilli(at)) ?: return@forEachIndexed
                if (at - lastSent[index] < interval.toMillis()) return@forEachIndexed
                lastSent[index] = at
                sent.add(at)
            }
        }
        return sent
    }

    private fun StatedRateShares.isInTurn(
        atMillis: Long,
        perSecond: Double = 2.0,
    ): Boolean = interval(upstream, perSecond, Instant.ofEpochMilli(atMillis)) != null

    private fun instances(count: Int): Set<InstanceId> = (1..count).mapTo(LinkedHashSet()) { InstanceId("i$it") }

    private fun shares(
        self: InstanceId,
        all: Set<InstanceId>,
    ) = StatedRateShares(self).apply { instances = all }

    private companion object {
        const val SEEDS = 60
        const val WINDOW_MILLIS = 4_000L
        const val DAY_MILLIS = 40_000L
    }
}
