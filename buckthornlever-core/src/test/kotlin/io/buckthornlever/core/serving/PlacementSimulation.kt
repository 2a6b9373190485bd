package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Simulates instances that place the requests of one service, which arrive at random, at a few upstreams that they share. An upstream
 * runs [SLOTS] requests at once, queues [QUEUE] more, rejects others, and reports its load with each response.
 *
 * @param slowShare share of the upstreams that work at 2.5 times the usual time and state it; they are drawn anew every 600 ms
 * @param shareInterval interval at which instances share what upstreams report; null if they don't
 */
internal class PlacementSimulation(
    instances: Int,
    upstreams: Int,
    seed: Long,
    private val slowShare: Double = 0.0,
    shareInterval: Duration? = null,
) {
    private val random = Random(seed)
    private val clock = ManualClock()
    private val events = PriorityQueue<Event>(compareBy<Event> { it.nanos }.thenBy { it.sequence })
    private val servers = (1..upstreams).associate { UpstreamId("u$it") to Server() }
    private val balancers =
        List(instances) { index ->
            UpstreamBalancer(InstanceId("i$index"), FailureDomain("d0"), clock).also { balancer ->
                servers.keys.forEach { balancer.onRegistered(ServingFixtures.upstream(it.value, "d0", SLOTS), 0) }
            }
        }
    private var sequence = 0
    private val outcomes = ArrayList<PlacementOutcome>()

    /** Times in milliseconds that served requests took, from when they were sent. */
    val servedMillis = ArrayList<Double>()

    init {
        if (shareInterval != null) share(shareInterval)
        if (slowShare >
            0
        ) {
            every(SLOW_TIME) { servers.values.forEach { it.factor = if (random.nextDouble() < slowShare) SLOW_FACTOR else 1.0 } }
        }
    }

    /** Requests that the upstreams hold, as a share of their slots. */
    val utilisation: Double get() = servers.values.sumOf { it.load }.toDouble() / (servers.size * SLOTS)

    /** Plays requests that arrive [perSecond] times a second for [duration], and returns what became of those that ended. */
    fun play(
        perSecond: Double,
        duration: Duration,
    ): List<PlacementOutcome> {
        val end = clock.nanos + duration.toNanos()
        val ended = outcomes.size
        scheduleArrival(perSecond, end)
        while (events.isNotEmpty() && events.peek().nanos <= end) {
            val event = events.remove()
            clock.nanos = event.nanos
            event.action()
        }
        clock.nanos = end
        return outcomes.drop(ended)
    }

    private fun share(interval: Duration) {
        val exchanges = balancers.map(::LoadFigureExchange)
        val holder = exchanges.first()
        for (exchange in exchanges.drop(1)) every(interval) { holder.onReceived(exchange.takeOwn(clock.nanos, MAX_BYTES), clock.nanos) }
        every(interval) {
            val bytes = holder.takeAll(clock.nanos, MAX_BYTES)
            exchanges.drop(1).forEach { it.onReceived(bytes, clock.nanos) }
        }
    }

    private fun every(
        interval: Duration,
        action: () -> Unit,
    ) {
        fun schedule(nanos: Long): Unit =
            at(nanos) {
                action()
                schedule(clock.nanos + interval.toNanos())
            }
        schedule((random.nextDouble() * interval.toNanos()).toLong())
    }

    private fun scheduleArrival(
        perSecond: Double,
        end: Long,
    ) {
        val next = clock.nanos + (-ln(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND).toLong()
        if (next > end) return
        at(next) {
            place(balancers.random(random), random.nextLong(), clock.nanos + MAX_WAIT.toNanos(), emptySet())
            scheduleArrival(perSecond, end)
        }
    }

    private fun place(
        balancer: UpstreamBalancer,
        request: Long,
        giveUpNanos: Long,
        tried: Set<UpstreamId>,
    ) {
        val placement = balancer.choose(PlacementQuery("s", tried = tried, tieBreak = request), clock.nanos)
        when {
            placement is Placement.Chosen -> send(balancer, placement.upstream, request, giveUpNanos, tried)
            clock.nanos < giveUpNanos -> at(clock.nanos + RETRY_INTERVAL.toNanos()) { place(balancer, request, giveUpNanos, tried) }
            else -> outcomes.add(PlacementOutcome.REFUSED)
        }
    }

    private fun send(
        balancer: UpstreamBalancer,
        entry: UpstreamEntry,
        request: Long,
        giveUpNanos: Long,
        tried: Set<UpstreamId>,
    ) {
        val server = servers.getValue(entry.upstream.id)
        val sentNanos = clock.nanos
        balancer.onRequestSent(entry, 0, clock.nanos)
        val accepted =
            server.offer {
                report(balancer, entry, server)
                balancer.onRequestFinished(entry, false, clock.nanos, Duration.ofNanos(clock.nanos - sentNanos))
                outcomes.add(PlacementOutcome.SERVED)
                servedMillis.add((clock.nanos - sentNanos) / NANOS_PER_MILLI)
            }
        if (accepted) return
        report(balancer, entry, server)
        balancer.onRequestFinished(entry, null, clock.nanos)
        if (tried.isEmpty()) place(balancer, request, giveUpNanos, setOf(entry.upstream.id)) else outcomes.add(PlacementOutcome.REJECTED)
    }

    private fun report(
        balancer: UpstreamBalancer,
        entry: UpstreamEntry,
        server: Server,
    ) {
        val slowdown = if (slowShare > 0) server.factor else null
        balancer.onLoadReported(entry, server.running, server.waiting, clock.nanos, slowdown = slowdown)
    }

    private fun at(
        nanos: Long,
        action: () -> Unit,
    ) {
        events.add(Event(nanos, sequence++, action))
    }

    private inner class Server {
        private val queue = ArrayDeque<() -> Unit>()
        var factor = 1.0
        var running = 0
            private set
        val waiting: Int get() = queue.size
        val load: Int get() = running + waiting

        /** Runs or queues a request that calls [done] at its end; returns false if there is no room. */
        fun offer(done: () -> Unit): Boolean {
            when {
                running < SLOTS -> run(done)
                queue.size < QUEUE -> queue.add(done)
                else -> return false
            }
            return true
        }

        private fun run(done: () -> Unit) {
            running++
            val work = MIN_WORK_MILLIS + random.nextDouble() * 2 * (MEAN_WORK_MILLIS - MIN_WORK_MILLIS)
            at(clock.nanos + (work * factor * NANOS_PER_MILLI).toLong()) {
                running--
                queue.removeFirstOrNull()?.let(::run)
                done()
            }
        }
    }

    private class Event(
        val nanos: Long,
        val sequence: Int,
        val action: () -> Unit,
    )

    companion object {
        const val SLOTS = 6
        const val MEAN_WORK_MILLIS = 60.0
        private const val QUEUE = 24
        private const val MIN_WORK_MILLIS = 20.0
        private const val NANOS_PER_SECOND = 1e9
        private const val NANOS_PER_MILLI = 1e6
        private const val SLOW_FACTOR = 2.5
        private const val MAX_BYTES = 4_096
        private val SLOW_TIME = Duration.ofMillis(600)
        private val RETRY_INTERVAL = Duration.ofMillis(20)
        private val MAX_WAIT = Duration.ofMillis(150)
    }
}
