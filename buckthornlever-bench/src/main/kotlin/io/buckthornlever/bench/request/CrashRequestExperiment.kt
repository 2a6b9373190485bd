package io.buckthornlever.bench.request

import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import io.buckthornlever.bench.process.SiteLayout

/** Upstreams lost to one crashing content that several entry instances receive at once and again. */
internal object CrashRequestExperiment : Experiment {
    override val name: String = "crash-request"
    override val bound: String = "at most 2 upstreams lost per crashing content over all instances, 99% of innocent requests answered"

    private const val MAX_LOST = 2
    private const val MIN_INNOCENT_PERCENT = 99.0

    private class Totals(
        runs: List<CrashSimulation>,
    ) {
        val contents = runs.size.toDouble()
        val most = runs.maxOf { it.lost }
        val mean = runs.sumOf { it.lost } / contents
        val innocentPercent = runs.sumOf { it.innocentAnswered } * 100.0 / runs.sumOf { it.innocentSubmitted }
    }

    override fun run(options: ExperimentOptions): ExperimentReport {
        val naive = measure(options, guarded = false)
        val implementation = measure(options, guarded = true)
        val violations =
            listOfNotNull(
                "${implementation.most} upstreams lost to one content".takeIf { implementation.most > MAX_LOST },
                "innocent requests answered ${implementation.innocentPercent}%".takeIf {
                    implementation.innocentPercent < MIN_INNOCENT_PERCENT
                },
            )
        val measurements =
            listOf(
                Measurement("crashing contents", "contents", naive.contents, implementation.contents),
                Measurement("most upstreams lost to one content", "upstreams", naive.most.toDouble(), implementation.most.toDouble()),
                Measurement("mean upstreams lost per content", "upstreams", naive.mean, implementation.mean),
                Measurement("innocent requests answered", "%", naive.innocentPercent, implementation.innocentPercent),
            )
        return ExperimentReport(name, bound, options.seed, measurements, violations)
    }

    private fun measure(
        options: ExperimentOptions,
        guarded: Boolean,
    ): Totals {
        val upstreams = SiteLayout.of(options.site).engines
        val rounds = options.duration.toSeconds().toInt()
        return Totals(
            List(rounds) {
                CrashSimulation(options.seed * rounds + it, SiteLayout.ENTRY_INSTANCES, upstreams, guarded).also(CrashSimulation::run)
            },
        )
    }
}
