package io.buckthornlever.bench.process

import java.time.Duration
import java.util.SplittableRandom
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Draws faults by chance, several at once or one twice, over real daemons on loopback. */
internal class CombinedFaultsExperiment : Experiment {
    override val name: String = "combined-faults"
    override val bound: String = "no line of what must always hold is violated in the records of callers and upstreams"

    override fun run(options: ExperimentOptions): ExperimentReport =
        SiteFixture(SiteLayout.of(options.site)).use { fixture ->
            fixture.start()
            val events = EventRecord()
            val trace = ArrayList<String>()
            val traffic = TrafficGenerator(fixture, options.seed, CALLERS)
            traffic.use {
                it.start()
                inject(fixture, events, options, trace)
            }
            report(options, InvariantChecker(fixture, traffic.finished, events).check(), traffic, trace)
        }

    private fun inject(
        fixture: SiteFixture,
        events: EventRecord,
        options: ExperimentOptions,
        trace: MutableList<String>,
    ) {
        val random = SplittableRandom(options.seed)
        val operator = SiteOperator(fixture, events)
        val start = System.nanoTime()
        FaultInjector(fixture, events, operator, random).use { injector ->
            var next = FIRST.toNanos()
            while (System.nanoTime() - start < options.duration.toNanos()) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SAMPLE_MILLIS))
                operator.sampleRevisions()
                if (System.nanoTime() - start < next) continue
                val fault = SiteFault.entries[random.nextInt(SiteFault.entries.size)]
                trace += "%.1f s %s".format(next / NANOS_PER_SECOND, fault)
                injector.inject(fault)
                next += random.nextLong(MIN_GAP.toNanos(), MAX_GAP.toNanos())
            }
        }
    }

    private fun report(
        options: ExperimentOptions,
        results: List<InvariantResult>,
        traffic: TrafficGenerator,
        trace: List<String>,
    ): ExperimentReport {
        val calls = traffic.finished
        val violations = results.flatMap { result -> result.violations.take(MAX_SHOWN).map { "${result.name}: $it" } }
        return ExperimentReport(
            name = name,
            bound = bound,
            seed = options.seed,
            measurements =
                listOf(
                    Measurement("faults", "count", null, trace.size.toDouble()),
                    Measurement("calls", "count", null, calls.size.toDouble()),
                    Measurement("calls with their whole answer", "count", null, calls.count { it.whole }.toDouble()),
                ) + results.map { Measurement(it.name, "cases", null, it.checked.toDouble()) },
            violations = if (violations.isEmpty()) violations else violations + "trace: ${trace.joinToString("; ")}",
        )
    }

    private companion object {
        const val CALLERS = 12
        const val SAMPLE_MILLIS = 50L
        const val MAX_SHOWN = 3
        const val NANOS_PER_SECOND = 1e9
        val FIRST: Duration = Duration.ofMillis(1_500)
        val MIN_GAP: Duration = Duration.ofMillis(300)
        val MAX_GAP: Duration = Duration.ofMillis(1_800)
    }
}
