package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against instances that choose by what others heard long ago, of another process or never. */
class LoadFigureExchangeTest {
    private class Instance(
        name: String,
    ) {
        val balancer = UpstreamBalancer(InstanceId(name), FailureDomain("a"), ManualClock())
        val exchange = LoadFigureExchange(balancer)

        fun register(
            id: String,
            born: Long = 1,
        ): UpstreamEntry {
            balancer.onRegistered(ServingFixtures.upstream(id).copy(bornMillis = born), 0)
            return entry(id)
        }

        fun entry(id: String): UpstreamEntry = balancer.upstreams.first { it.upstream.id == UpstreamId(id) }
    }

    private val first = Instance("i1").apply { register("u1") }
    private val second = Instance("i2").apply { register("u1") }

    @Test
    fun `an instance learns what an upstream stated to another one, and when`() {
        first.balancer.onLoadReported(first.entry("u1"), 3, 2, millis(100), 4, 1.75)
        second.exchange.onReceived(first.exchange.takeOwn(millis(200), MAX_BYTES), millis(200))
        val figure = checkNotNull(second.entry("u1").figure)
        assertEquals(listOf(3, 2), listOf(figure.running, figure.waiting))
        assertEquals(1.75, figure.slowdown)
        assertEquals(100.0, figure.nanos / 1e6, 16.0)
        assertEquals(5, second.entry("u1").loadOfOtherInstances)
    }

    @Test
    fun `the own newer figure stays`() {
        first.balancer.onLoadReported(first.entry("u1"), 3, 0, millis(100))
        second.balancer.onLoadReported(second.entry("u1"), 1, 0, millis(150))
        second.exchange.onReceived(first.exchange.takeOwn(millis(200), MAX_BYTES), millis(200))
        assertEquals(1, second.entry("u1").figure?.running)
    }

    @Test
    fun `a message that was long on its way does not count as new`() {
        first.balancer.onLoadReported(first.entry("u1"), 3, 0, millis(100))
        val late = first.exchange.takeOwn(millis(100), MAX_BYTES)
        second.balancer.onLoadReported(second.entry("u1"), 1, 0, millis(2_000))
        second.exchange.onReceived(late, millis(3_000) - millis(2_900))
        assertEquals(1, second.entry("u1").figure?.running)
    }

    @Test
    fun `a figure of another process of an upstream is not taken`() {
        first.balancer.onLoadReported(first.entry("u1"), 4, 20, millis(100))
        val message = first.exchange.takeOwn(millis(110), MAX_BYTES)
        second.register("u1", born = 2)
        second.exchange.onReceived(message, millis(110))
        assertNull(second.entry("u1").figure)
    }

    @Test
    fun `own requests that a figure contains do not count twice`() {
        second.balancer.onRequestSent(second.entry("u1"), 0, millis(50))
        second.balancer.onRequestSent(second.entry("u1"), 0, millis(150))
        first.balancer.onLoadReported(first.entry("u1"), 3, 0, millis(100))
        second.exchange.onReceived(first.exchange.takeOwn(millis(200), MAX_BYTES), millis(200))
        // One of the three is the own request that was sent before the figure.
        assertEquals(2, second.entry("u1").loadOfOtherInstances)
    }

    @Test
    fun `a figure is told once, and only what an instance has heard itself`() {
        first.balancer.onLoadReported(first.entry("u1"), 3, 0, millis(100))
        val message = first.exchange.takeOwn(millis(200), MAX_BYTES)
        assertEquals(0, first.exchange.takeOwn(millis(300), MAX_BYTES).size)
        second.exchange.onReceived(message, millis(200))
        assertEquals(0, second.exchange.takeOwn(millis(300), MAX_BYTES).size)
        assertTrue(second.exchange.takeAll(millis(300), MAX_BYTES).isNotEmpty())
    }

    @Test
    fun `300 upstreams fit into one datagram and in a quarter of a narrow link to 132 instances`() {
        repeat(300) { index ->
            val entry = first.register("u$index")
            first.balancer.onLoadReported(entry, 100, 1_000, millis(index.toLong()), 64, 2.55)
        }
        val size = first.exchange.takeAll(millis(300), 65_507).size
        assertTrue(size <= 3_300, "$size bytes")
        // Every 0.66 s to 131 instances at 7 Mbit/s.
        assertTrue(size * 8 * 131 / 0.66 < 7e6, "$size bytes")
    }

    @Test
    fun `a message has no more bytes than its sender allows, and the rest follows`() {
        repeat(50) { index ->
            first.balancer.onLoadReported(first.register("u$index"), index, 0, millis(index.toLong()))
        }
        val running = ArrayList<Int>()
        repeat(10) {
            val message = first.exchange.takeAll(millis(100), 100)
            assertTrue(message.size <= 100)
            LoadFigureCodec.decode(message, millis(100)) { _, figure -> running.add(figure.running) }
        }
        assertEquals((0 until 50).reversed().toList(), running)
    }

    @Test
    fun `an overview takes a part of the holder's link only`() {
        assertEquals(1_102, LoadFigureExchange.overviewBytes(7.0, 131, Duration.ofMillis(660)), "narrow link, 132 instances")
        assertEquals(8_192, LoadFigureExchange.overviewBytes(140.0, 6, Duration.ofMillis(250)), "wide link, 7 instances")
        assertEquals(128, LoadFigureExchange.overviewBytes(0.0, 1_200, Duration.ofMillis(700)), "unknown link, 1,200 instances")
    }

    @Test
    fun `bytes that are no figures do no harm`() {
        val random = Random(1)
        repeat(10_000) { second.exchange.onReceived(random.nextBytes(random.nextInt(40)), millis(100)) }
        first.balancer.onLoadReported(first.entry("u1"), 3, 0, millis(100))
        val message = first.exchange.takeOwn(millis(100), MAX_BYTES)
        for (size in 0 until message.size) second.exchange.onReceived(message.copyOf(size), millis(100))
        assertNull(second.entry("u1").figure)
        second.exchange.onReceived(message, millis(100))
        assertEquals(3, second.entry("u1").figure?.running)
    }

    @Test
    fun `messages that an instance reads after it was frozen count from when they were sent`() {
        val delays = MessageDelays()
        val offset = millis(77_000)
        for (tick in 0L until 20L) assertTrue(delays.delayNanos("i1", 1, millis(tick * 350) + offset, millis(tick * 350 + 2)) <= millis(1))
        // Frozen from 7,000 ms on; the ten messages that arrived are read at 10,500 ms.
        for (tick in 20L until 30L) {
            val delay = delays.delayNanos("i1", 1, millis(tick * 350) + offset, millis(10_500))
            assertEquals(10_500.0 - tick * 350, delay / 1e6, 3.0)
        }
        assertEquals(0, delays.delayNanos("i1", 2, 0, millis(11_000)), "a new process has another clock")
    }

    private fun millis(count: Long): Long = Duration.ofMillis(count).toNanos()

    private companion object {
        const val MAX_BYTES = 4_096
    }
}
