package io.buckthornlever.bench.request

import com.sun.management.ThreadMXBean
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.serving.DiscoveredUpstream
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.serving.BalancerOptions
import io.buckthornlever.core.serving.Placement
import io.buckthornlever.core.serving.PlacementQuery
import io.buckthornlever.core.serving.UpstreamBalancer
import io.buckthornlever.core.serving.UpstreamEntry
import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory
import java.time.Duration
import kotlin.random.Random

/** Time and allocation of the gateway's choice of an upstream, over services of different sizes. */
internal class UpstreamChoiceExperiment : Experiment {
    override val name: String = "upstream-choice"
    override val bound: String = "p50 and allocation of a choice over 1,000 upstreams at most 1.5 times those over 50"

    private class Outcome(
        val p50Micros: Double,
        val p99Micros: Double,
        val bytes: Double,
        val checkP50Micros: Double,
    )

    override fun run(options: ExperimentOptions): ExperimentReport {
        val measurements = ArrayList<Measurement>()
        val outcomes = SIZES.associateWith { measure(it, true, CHOICES, options.seed) }
        for (size in SIZES) {
            val all = measure(size, false, CHOICES * SIZES.first() / size, options.seed)
            val outcome = outcomes.getValue(size)
            measurements += Measurement("$size upstreams: choice, p50", "us", all.p50Micros, outcome.p50Micros)
            measurements += Measurement("$size upstreams: choice, p99", "us", all.p99Micros, outcome.p99Micros)
            measurements += Measurement("$size upstreams: allocation", "B/choice", all.bytes, outcome.bytes)
            measurements += Measurement("$size upstreams: plan of checks, p50", "us", null, outcome.checkP50Micros)
        }
        val violations = ArrayList<String>()
        val (smallest, largest) = listOf(SIZES.first(), SIZES.last()).map(outcomes::getValue)
        for ((what, growth) in listOf("p50" to largest.p50Micros / smallest.p50Micros, "allocation" to largest.bytes / smallest.bytes)) {
            measurements += Measurement("$what, ${SIZES.last()} to ${SIZES.first()} upstreams", "", null, growth)
            if (growth > MAX_GROWTH) violations += "$what grows by %.2f with the number of upstreams".format(growth)
        }
        return ExperimentReport(name, bound, options.seed, measurements, violations)
    }

    private fun measure(
        size: Int,
        usesExpectedTimes: Boolean,
        choices: Int,
        seed: Long,
    ): Outcome {
        val clock = ManualClock()
        val random = Random(seed)
        val balancer = UpstreamBalancer(InstanceId("i1"), FailureDomain("d0"), clock, BalancerOptions(usesExpectedTimes))
        repeat(size) { balancer.onRegistered(upstream(it), 0) }
        for (entry in balancer.upstreams) report(balancer, entry, random, 0)
        val queries = List(QUERIES) { query(random) }
        val run = Run(balancer, balancer.upstreams.toList(), queries, random)
        repeat(WARM_UPS) { run.play(choices) }
        return run.play(choices)
    }

    private inner class Run(
        private val balancer: UpstreamBalancer,
        private val entries: List<UpstreamEntry>,
        private val queries: List<PlacementQuery>,
        private val random: Random,
    ) {
        private var nanos = 0L

        /** Chooses upstreams while others end their requests and state their load, as an instance does that gets [IN_FLIGHT] streams. */
        fun play(choices: Int): Outcome {
            val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
            val inFlight = ArrayDeque<UpstreamEntry>()
            val times = Histogram(3)
            val checkTimes = Histogram(3)
            var bytes = 0L
            repeat(choices) {
                nanos += CHOICE_INTERVAL.toNanos()
                val query = queries[random.nextInt(queries.size)]
                val before = threads.currentThreadAllocatedBytes
                val start = System.nanoTime()
                val placement = balancer.choose(query, nanos)
                times.recordValue(System.nanoTime() - start)
                bytes += threads.currentThreadAllocatedBytes - before
                val checkStart = System.nanoTime()
                balancer.planCheck(query, nanos)
                checkTimes.recordValue(System.nanoTime() - checkStart)
                if (placement is Placement.Chosen) {
                    balancer.onRequestSent(placement.upstream, query.promptTokens, nanos)
                    inFlight.addLast(placement.upstream)
                }
                if (inFlight.size > IN_FLIGHT) finish(inFlight.removeFirst(), query.promptTokens)
                report(balancer, entries[random.nextInt(entries.size)], random, nanos)
            }
            inFlight.forEach { finish(it, 0) }
            return Outcome(
                times.getValueAtPercentile(50.0) / NANOS_PER_MICRO,
                times.getValueAtPercentile(99.0) / NANOS_PER_MICRO,
                bytes.toDouble() / choices,
                checkTimes.getValueAtPercentile(50.0) / NANOS_PER_MICRO,
            )
        }

        private fun finish(
            entry: UpstreamEntry,
            tokens: Int,
        ) {
            balancer.onPromptRead(entry, tokens)
            balancer.onRequestFinished(entry, false, nanos, Duration.ofMillis(500))
        }
    }

    private fun report(
        balancer: UpstreamBalancer,
        entry: UpstreamEntry,
        random: Random,
        nanos: Long,
    ): Unit = balancer.onLoadReported(entry, random.nextInt(SLOTS / 2), 0, nanos, SLOTS, 1.0 + random.nextInt(2))

    private fun query(random: Random): PlacementQuery =
        PlacementQuery("s", listOf(random.nextLong(PARTS)), 5_000, random.nextInt(5_500, 12_000), tieBreak = random.nextLong())

    private fun upstream(index: Int): DiscoveredUpstream =
        DiscoveredUpstream(
            id = UpstreamId("u$index"),
            service = "s",
            host = "127.0.0.1",
            port = index + 1,
            domain = FailureDomain("d${index % 3}"),
            version = VersionLabel("v1"),
            slots = SLOTS,
            leaving = false,
            coldFor = Duration.ZERO,
            reclaimable = false,
        )

    private companion object {
        val SIZES = listOf(50, 300, 1_000)
        const val SLOTS = 64
        const val PARTS = 100L
        const val QUERIES = 5_000
        const val CHOICES = 200_000
        const val WARM_UPS = 2
        const val IN_FLIGHT = 40
        const val MAX_GROWTH = 1.5
        const val NANOS_PER_MICRO = 1e3
        val CHOICE_INTERVAL: Duration = Duration.ofMillis(5)
    }
}
