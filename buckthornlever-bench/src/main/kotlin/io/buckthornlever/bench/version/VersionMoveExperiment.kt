package io.buckthornlever.bench.version

import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import java.time.Duration

/**
 * Good and bad version moves on nine instances with merged evidence, outages of the store and changes of the lease holder, against
 * a fixed time schedule. Simulates [MOVES_PER_SECOND] moves per second of the duration option, half of them good.
 */
internal class VersionMoveExperiment : Experiment {
    override val name = "version-move"
    override val bound =
        "at least 99% of good moves are done by the due time; every bad version whose fault shows is rolled back, " +
            "gets no request 3 s after 25 responses showed its fault, " +
            "and at most 6% of requests before when the fault is there from the start"

    override fun run(options: ExperimentOptions): ExperimentReport {
        val count = (options.duration.seconds * MOVES_PER_SECOND).toInt().coerceAtLeast(MoveFault.entries.size * 2)
        val faults = MoveFault.entries.filter { it.bad }
        val scenarios =
            List(count) { i ->
                val fault = if (i % 2 == 0) MoveFault.NONE else faults[i / 2 % faults.size]
                MoveScenario.generate(options.seed * 1_000_003 + i, fault)
            }
        val results = scenarios.parallelStream().map { MoveSimulation(it, naive = false).run() }.toList()
        val naive = scenarios.parallelStream().map { MoveSimulation(it, naive = true).run() }.toList()
        return ExperimentReport(name, bound, options.seed, measurements(results, naive), violations(results))
    }

    private fun measurements(
        results: List<MoveResult>,
        naive: List<MoveResult>,
    ): List<Measurement> {
        val good = results.filter { !it.scenario.fault.bad }
        val bad = results.filter { it.scenario.fault.bad }
        val naiveBad = naive.filter { it.scenario.fault.bad }
        val waits = bad.mapNotNull { it.lastOnNewAfterVisible }.maxOrNull() ?: Duration.ZERO
        return listOf(
            Measurement("good moves", "moves", good.size.toDouble(), good.size.toDouble()),
            Measurement("good moves done in time", "%", null, percent(good.count(::inTime), good.size)),
            Measurement("bad moves", "moves", naiveBad.size.toDouble(), bad.size.toDouble()),
            Measurement("bad moves rolled back", "%", 0.0, percent(bad.count { it.rolledBack }, bad.size)),
            Measurement("bad moves left open, fault never showed", "moves", null, bad.count { !it.rolledBack && !it.visible }.toDouble()),
            Measurement("latest request after the visible fault", "s", null, waits.toMillis() / 1e3),
        ) + MoveFault.entries.filter { it.bad }.flatMap { fault -> shares(fault, bad, naiveBad) } +
            Measurement("requests on bad versions", "%", share(naiveBad) { it.onNew }, share(bad) { it.onNew }) +
            Measurement("requests harmed by bad versions", "%", share(naiveBad) { it.harmed }, share(bad) { it.harmed })
    }

    private fun shares(
        fault: MoveFault,
        bad: List<MoveResult>,
        naive: List<MoveResult>,
    ): List<Measurement> {
        val label = fault.name.lowercase().replace('_', ' ')
        val kind = { result: MoveResult -> result.scenario.fault == fault }
        return listOf(
            Measurement(
                "requests on version that $label",
                "%",
                share(naive.filter(kind)) {
                    it.onNew
                },
                share(bad.filter(kind)) { it.onNew },
            ),
        )
    }

    private fun violations(results: List<MoveResult>): List<String> {
        val good = results.filter { !it.scenario.fault.bad }
        val late = good.filterNot(::inTime)
        val found = mutableListOf<String>()
        if (late.size > good.size * (1 - MIN_IN_TIME)) {
            found.add("${late.size} of ${good.size} good moves were not done in time, such as ${describe(late.first())}")
        }
        results.filter { it.scenario.fault.bad }.forEach { result ->
            if (!result.rolledBack && (result.visible || result.doneAfter != null)) found.add("not rolled back: ${describe(result)}")
            val wait = result.lastOnNewAfterVisible
            if (wait != null && wait > MAX_WAIT) found.add("requests ${wait.toMillis()} ms after the visible fault: ${describe(result)}")
            if (result.scenario.fault.atOnce && result.shareBeforeVisible > MAX_SHARE) {
                found.add("share ${result.shareBeforeVisible} before the fault was visible: ${describe(result)}")
            }
        }
        return found
    }

    private fun describe(result: MoveResult): String = "${result.scenario} done=${result.doneAfter} ${result.reason}"

    private fun inTime(result: MoveResult): Boolean = result.doneAfter?.let { it <= result.scenario.duration } == true

    private fun percent(
        part: Int,
        whole: Int,
    ): Double = 100.0 * part / maxOf(1, whole)

    private fun share(
        results: List<MoveResult>,
        part: (MoveResult) -> Int,
    ): Double = percent(results.sumOf(part), results.sumOf { it.requests })

    private companion object {
        const val MOVES_PER_SECOND = 36
        const val MIN_IN_TIME = 0.99

        /** The limit of 5% and the rounding of few requests per instance and route. */
        const val MAX_SHARE = 0.06
        val MAX_WAIT: Duration = Duration.ofSeconds(3)
    }
}
