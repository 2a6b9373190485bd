package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random

/**
 * Simulates instances that place streams at engines. An engine reads one prompt after the other, then sends the events of all streams;
 * it holds the shared parts that it has read. Engines state their load with the first and last event; instances tell a holder, which
 * tells all.
 */
internal class EngineSimulation(
    private val options: Options,
    seed: Long,
) {
    /**
     * @property stateInterval time between two messages of an instance to the holder
     * @property overviewInterval time between two messages of the holder; null if load figures are not shared
     * @property slowShare share of the engines that work at [SLOW_FACTOR] of the usual time; they are drawn anew in [SLOW_TIME]
     */
    data class Options(
        val instances: Int,
        val engines: Int,
        val slots: Int,
        val longPerSecond: Double,
        val shortPerSecond: Double,
        val stateInterval: Duration,
        val overviewInterval: Duration?,
        val slowShare: Double = 0.0,
        val statesSlowdown: Boolean = slowShare > 0,
        val usesExpectedTimes: Boolean = true,
        val checks: Boolean = false,
    )

    /** Times to the first event in milliseconds, of long and short streams, and of those with the largest prompts. */
    class Times {
        val long = ArrayList<Double>()
        val short = ArrayList<Double>()
        val large = ArrayList<Double>()
    }

    private val random = Random(seed)
    private val clock = ManualClock()
    private val events = PriorityQueue<Event>(compareBy<Event> { it.nanos }.thenBy { it.sequence })
    private var sequence = 0
    private val engines = List(options.engines) { Engine("e$it") }
    private val engineOf = engines.associateBy { UpstreamId(it.id) }
    val gateways: List<Gateway> = List(options.instances) { Gateway(it) }
    private val weights = gateways.map { 0.5 + random.nextDouble() }.runningFold(0.0, Double::plus)
    var times = Times()
        private set

    /** Prompt tokens that engines had to read, and those that were sent to them. */
    var tokensRead = 0L
    var tokensSent = 0L
    var checksSent = 0L
    var streamsSent = 0L

    /** Shared parts that an engine had to read although another one, or itself, had used them within [HELD_NANOS]; and their tokens. */
    var partsReadAgain = 0L
    var partTokensReadAgain = 0L
    private val partUsedNanos = HashMap<Long, Long>()

    /** Time for which each engine was reading prompts in the current phase, in nanoseconds. */
    val busyNanos: List<Long> get() = engines.map { it.busyNanos }

    /** Waiting time in milliseconds ahead of a new prompt, by engine; sampled every 50 ms. */
    val backlogs = List(options.engines) { ArrayList<Double>() }

    /** Share of the messages between instances that are lost, and how long the others are on their way beyond the latency. */
    var lossShare = 0.0
    var delay: Duration = Duration.ZERO

    /** The instance that holds the lease; null if none does. */
    var holder: Gateway? = gateways.first()

    init {
        for (gateway in gateways) every(options.stateInterval) { gateway.report() }
        options.overviewInterval?.let { interval -> every(interval) { holder?.publish() } }
        every(Duration.ofMillis(50)) { engines.forEachIndexed { index, engine -> backlogs[index].add(engine.backlogMillis) } }
        if (options.slowShare > 0) every(SLOW_TIME) { engines.forEach { it.drawSlowdown() } }
    }

    /** Plays streams for [duration] and returns the times of those that had their first event in it. */
    fun play(
        duration: Duration,
        factor: Double = 1.0,
    ): Times {
        times = Times()
        engines.forEach { it.busyNanos = 0 }
        backlogs.forEach { it.clear() }
        tokensRead = 0
        tokensSent = 0
        checksSent = 0
        streamsSent = 0
        partsReadAgain = 0
        partTokensReadAgain = 0
        val end = clock.nanos + duration.toNanos()
        scheduleArrivals(options.longPerSecond * factor, end, true)
        scheduleArrivals(options.shortPerSecond * factor, end, false)
        while (events.isNotEmpty() && events.peek().nanos <= end) {
            val event = events.remove()
            clock.nanos = event.nanos
            event.action()
        }
        clock.nanos = end
        return times
    }

    private fun scheduleArrivals(
        perSecond: Double,
        end: Long,
        isLong: Boolean,
    ) {
        val next = clock.nanos + (-ln(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND).toLong()
        if (next > end) return
        at(next) {
            val target = random.nextDouble() * weights.last()
            val gateway = gateways[(weights.indexOfFirst { it > target } - 1).coerceIn(gateways.indices)]
            gateway.place(Stream(isLong))
            scheduleArrivals(perSecond, end, isLong)
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

    private fun at(
        nanos: Long,
        action: () -> Unit,
    ) {
        events.add(Event(nanos, sequence++, action))
    }

    internal inner class Stream(
        val isLong: Boolean,
    ) {
        val part = random.nextLong(if (isLong) PARTS else PARTS / 2) * 2 + (if (isLong) 0 else 1)
        val sharedTokens = if (isLong) 5_382 else 568
        val ownTokens = (if (isLong) 6_610.0 else 1_800.0).let { minOf((-ln(1 - random.nextDouble()) * it).toInt() + 50, (it * 8).toInt()) }
        val tokens = sharedTokens + ownTokens
        val outputNanos = if (isLong) 1_500_000_000L else 200_000_000L
        val arrivedNanos = clock.nanos
    }

    internal inner class Gateway(
        private val index: Int,
    ) {
        private var balancer = newBalancer()
        private var exchange = LoadFigureExchange(balancer)

        /** Messages from and to this instance are lost while it is cut off. */
        var isCutOff = false

        /** Forgets everything that it knew. */
        fun restart() {
            balancer = newBalancer()
            exchange = LoadFigureExchange(balancer)
        }

        private fun newBalancer(): UpstreamBalancer {
            val options = BalancerOptions(options.usesExpectedTimes)
            val balancer = UpstreamBalancer(InstanceId("i$index"), FailureDomain("d0"), clock, options)
            engines.forEach {
                balancer.onRegistered(ServingFixtures.upstream(it.id, "d0", this@EngineSimulation.options.slots), clock.nanos)
            }
            return balancer
        }

        fun report() {
            if (options.overviewInterval == null || holder === this) return
            val bytes = exchange.takeOwn(clock.nanos, MAX_BYTES)
            val receiver = holder ?: return
            if (!isCutOff && !receiver.isCutOff) receiver.receive(bytes)
        }

        fun publish() {
            val bytes = exchange.takeAll(clock.nanos, MAX_BYTES)
            if (!isCutOff) gateways.forEach { if (it !== this && !it.isCutOff) it.receive(bytes) }
        }

        private fun receive(bytes: ByteArray) {
            val sent = clock.nanos
            if (random.nextDouble() < lossShare) return
            at(sent + LATENCY_NANOS + delay.toNanos()) { exchange.onReceived(bytes, sent) }
        }

        fun place(stream: Stream) {
            val query =
                PlacementQuery(
                    "s",
                    listOf(stream.part),
                    stream.sharedTokens,
                    stream.tokens,
                    tieBreak = random.nextLong(),
                    firstOutputBy = stream.arrivedNanos + (if (stream.isLong) LONG_TARGET_NANOS else SHORT_TARGET_NANOS),
                )
            val check = if (options.checks) balancer.planCheck(query, clock.nanos) else null
            if (check == null) return place(stream, query, balancer.choose(query, clock.nanos))
            checksSent += check.asked.size
            for (entry in check.asked) {
                at(clock.nanos + 2 * LATENCY_NANOS) {
                    report(entry, engineOf.getValue(entry.upstream.id))
                    check.onAnswered(entry, clock.nanos)
                }
            }
            at(clock.nanos + 3 * LATENCY_NANOS) { place(stream, query, balancer.chooseChecked(check, query, clock.nanos)) }
        }

        private fun place(
            stream: Stream,
            query: PlacementQuery,
            placement: Placement,
        ) {
            if (placement is Placement.Chosen) return send(stream, query, placement.upstream)
            if (clock.nanos - stream.arrivedNanos < MAX_WAIT_NANOS) at(clock.nanos + RETRY_NANOS) { place(stream) }
        }

        private fun send(
            stream: Stream,
            query: PlacementQuery,
            entry: UpstreamEntry,
        ) {
            val engine = engineOf.getValue(entry.upstream.id)
            // The answers of a stream that was sent before a restart concern nobody.
            val balancer = balancer
            val basis = balancer.basis(entry, query, clock.nanos)
            val sentNanos = clock.nanos
            balancer.onRequestSent(entry, basis.tokensToRead, sentNanos)
            at(sentNanos + LATENCY_NANOS) {
                engine.read(stream) {
                    at(clock.nanos + LATENCY_NANOS) {
                        report(entry, engine)
                        balancer.onPromptRead(entry, basis.tokensToRead)
                        balancer.onFirstOutput(entry, query, basis, Duration.ofNanos(clock.nanos - sentNanos), clock.nanos)
                        val millis = (clock.nanos - stream.arrivedNanos) / NANOS_PER_MILLI
                        (if (stream.isLong) times.long else times.short).add(millis)
                        if (stream.ownTokens > LARGE_TOKENS) times.large.add(millis)
                    }
                    at(clock.nanos + (stream.outputNanos * engine.slowdown).toLong()) {
                        engine.streams--
                        at(clock.nanos + LATENCY_NANOS) {
                            report(entry, engine)
                            balancer.onRequestFinished(entry, false, clock.nanos, Duration.ofNanos(clock.nanos - sentNanos))
                        }
                    }
                }
            }
        }

        private fun report(
            entry: UpstreamEntry,
            engine: Engine,
        ) {
            val slowdown = if (options.statesSlowdown) (engine.slowdown * 100).roundToInt() / 100.0 else null
            balancer.onLoadReported(entry, engine.streams, 0, clock.nanos, options.slots, slowdown)
        }
    }

    private inner class Engine(
        val id: String,
    ) {
        private val held = HashMap<Long, Long>()
        private var freeNanos = 0L
        var slowdown = 1.0
            private set

        /** Streams whose prompt is read or waits, or that have not sent their last event. */
        var streams = 0
        var busyNanos = 0L
        val backlogMillis: Double get() = maxOf(0, freeNanos - clock.nanos) / NANOS_PER_MILLI

        fun drawSlowdown() {
            slowdown = if (random.nextDouble() < options.slowShare) SLOW_FACTOR else 1.0
        }

        fun read(
            stream: Stream,
            done: () -> Unit,
        ) {
            streams++
            val isHeld = (held[stream.part] ?: Long.MIN_VALUE / 2) >= clock.nanos - HELD_NANOS
            held[stream.part] = clock.nanos
            if (!isHeld && (partUsedNanos[stream.part] ?: Long.MIN_VALUE / 2) >= clock.nanos - HELD_NANOS) {
                partsReadAgain++
                partTokensReadAgain += stream.sharedTokens
            }
            partUsedNanos[stream.part] = clock.nanos
            streamsSent++
            val tokens = if (isHeld) stream.ownTokens else stream.tokens
            tokensRead += tokens
            tokensSent += stream.tokens
            val nanos = (tokens / TOKENS_PER_MILLI * NANOS_PER_MILLI * slowdown).toLong()
            busyNanos += nanos
            freeNanos = maxOf(freeNanos, clock.nanos) + nanos
            at(freeNanos, done)
        }
    }

    private class Event(
        val nanos: Long,
        val sequence: Int,
        val action: () -> Unit,
    )

    companion object {
        const val SLOW_FACTOR = 2.5
        const val NANOS_PER_MILLI = 1e6
        private const val NANOS_PER_SECOND = 1e9
        private const val TOKENS_PER_MILLI = 56.0
        private const val LATENCY_NANOS = 1_000_000L
        private const val HELD_NANOS = 10_000_000_000L
        private const val RETRY_NANOS = 20_000_000L
        private const val MAX_WAIT_NANOS = 1_000_000_000L
        private const val LARGE_TOKENS = 20_000
        private const val PARTS = 40L
        private const val LONG_TARGET_NANOS = 1_019_000_000L
        private const val SHORT_TARGET_NANOS = 1_210_000_000L
        private const val MAX_BYTES = 4_096
        private val SLOW_TIME: Duration = Duration.ofMillis(600)

        /** Value below which [share] of [values] lie. */
        fun quantile(
            values: List<Double>,
            share: Double,
        ): Double = values.sorted()[(values.size * share).toInt().coerceAtMost(values.size - 1)]
    }
}
