package io.buckthornlever.bench.request

import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import io.buckthornlever.core.request.StateMachine
import io.buckthornlever.core.request.AtMostOnceCall
import io.buckthornlever.core.request.AtMostOnceCommand
import io.buckthornlever.core.request.AtMostOnceEvent
import io.buckthornlever.core.request.AtMostOnceMachine

/** Executions of non-repeatable calls under faults of the store, the service and the entry instances. */
internal object AtMostOnceExperiment : Experiment {
    override val name: String = "at-most-once"
    override val bound: String = "0 duplicate executions, 0 false not-run, at least 75% of the keys answered"

    private const val KEYS_PER_SECOND = 2_000
    private const val SUBMISSIONS = 4
    private const val MIN_ANSWERED_PERCENT = 75.0

    private class Totals(
        val keys: Int,
        val duplicates: Int,
        val falseNotRun: Int,
        val answered: Int,
    ) {
        val answeredPercent: Double get() = answered * 100.0 / keys
    }

    override fun run(options: ExperimentOptions): ExperimentReport {
        val naive = measure(NaiveOnce, options)
        val implementation = measure(AtMostOnceMachine, options)
        val violations =
            listOfNotNull(
                "${implementation.duplicates} duplicate executions".takeIf { implementation.duplicates > 0 },
                "${implementation.falseNotRun} false not-run".takeIf { implementation.falseNotRun > 0 },
                "answered ${implementation.answeredPercent}%".takeIf { implementation.answeredPercent < MIN_ANSWERED_PERCENT },
            )
        val measurements =
            listOf(
                Measurement("keys", "keys", naive.keys.toDouble(), implementation.keys.toDouble()),
                Measurement("duplicate executions", "executions", naive.duplicates.toDouble(), implementation.duplicates.toDouble()),
                Measurement("false not-run", "answers", naive.falseNotRun.toDouble(), implementation.falseNotRun.toDouble()),
                Measurement("keys with a known outcome", "%", naive.answeredPercent, implementation.answeredPercent),
            )
        return ExperimentReport(name, bound, options.seed, measurements, violations)
    }

    private fun measure(
        machine: StateMachine<AtMostOnceCall, AtMostOnceEvent, AtMostOnceCommand>,
        options: ExperimentOptions,
    ): Totals {
        val keys = KEYS_PER_SECOND * options.duration.toSeconds().toInt()
        val runs = List(keys) { OnceSimulation(machine, options.seed * keys + it, SUBMISSIONS).also(OnceSimulation::run) }
        return Totals(keys, runs.sumOf { maxOf(0, it.executions - 1) }, runs.sumOf { it.falseNotRun }, runs.count { it.answered })
    }
}
