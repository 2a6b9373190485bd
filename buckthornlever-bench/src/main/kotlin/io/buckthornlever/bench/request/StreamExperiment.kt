package io.buckthornlever.bench.request

import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import io.buckthornlever.bench.process.SiteLayout
import io.buckthornlever.core.request.StateMachine
import io.buckthornlever.core.request.StreamCommand
import io.buckthornlever.core.request.StreamEvent
import io.buckthornlever.core.request.StreamMachine
import io.buckthornlever.core.request.StreamState

/** Whole answers of streams under [faults]; the bound on their course is checked by [extraViolations]. */
internal class StreamExperiment private constructor(
    override val name: String,
    override val bound: String,
    private val faults: (Int) -> StreamFaults,
    private val extraViolations: (naive: Totals, implementation: Totals) -> List<String>,
) : Experiment {
    private class Totals(
        runs: List<StreamSimulation>,
    ) {
        val streams = runs.sumOf { it.count }
        val whole = runs.sumOf { it.whole }
        val wholePercent = whole * 100.0 / streams
        val surplus = runs.sumOf { it.surplusTokens }
        val recomputed = runs.sumOf { it.recomputed }
        val recomputedAfterNotice = runs.filter { it.faults.noticeMillis > 0 }.sumOf { it.recomputed }
        val misjudged = runs.sumOf { it.misjudged }
        val longestGapMillis = runs.maxOf { it.longestGapMillis }
    }

    override fun run(options: ExperimentOptions): ExperimentReport {
        val naive = measure(NaiveStream, options)
        val implementation = measure(StreamMachine, options)
        val lost = implementation.streams - implementation.whole
        val violations =
            listOfNotNull(
                "$lost answers incomplete or wrong".takeIf { lost > 0 },
                "${implementation.surplus} repeated tokens".takeIf { implementation.surplus > 0 },
            ) + extraViolations(naive, implementation)
        val measurements =
            listOf(
                Measurement("streams", "streams", naive.streams.toDouble(), implementation.streams.toDouble()),
                Measurement("whole answers", "%", naive.wholePercent, implementation.wholePercent),
                Measurement("repeated tokens", "tokens", naive.surplus.toDouble(), implementation.surplus.toDouble()),
                Measurement("recomputed tokens", "tokens", naive.recomputed.toDouble(), implementation.recomputed.toDouble()),
                Measurement(
                    "recomputed tokens after a notice",
                    "tokens",
                    naive.recomputedAfterNotice.toDouble(),
                    implementation.recomputedAfterNotice.toDouble(),
                ),
                Measurement("healthy upstreams judged dead", "upstreams", naive.misjudged.toDouble(), implementation.misjudged.toDouble()),
                Measurement(
                    "longest gap between tokens",
                    "ms",
                    naive.longestGapMillis.toDouble(),
                    implementation.longestGapMillis.toDouble(),
                ),
            )
        return ExperimentReport(name, bound, options.seed, measurements, violations)
    }

    private fun measure(
        machine: StateMachine<StreamState, StreamEvent, StreamCommand>,
        options: ExperimentOptions,
    ): Totals {
        val layout = SiteLayout.of(options.site)
        val rounds = options.duration.toSeconds().toInt()
        return Totals(
            List(rounds) {
                StreamSimulation(machine, options.seed * rounds + it, layout.engines, layout.domains.size, STREAMS, faults(it))
                    .also(StreamSimulation::run)
            },
        )
    }

    companion object {
        private const val STREAMS = 60
        private const val MAX_GAP_MILLIS = 2 * (StreamSimulation.PROGRESS_MILLIS + StreamSimulation.PROBE_MILLIS) + 1_000

        /** A failure domain is reclaimed, in turn without notice, with a short one and with a longer one. */
        val RECLAIM =
            StreamExperiment(
                "reclaim",
                "every answer whole, 0 repeated tokens, recomputed tokens after a notice at most 10% of the naive baseline's",
                { StreamFaults(reclaimAtMillis = 2_000, noticeMillis = listOf(0L, 1_000L, 3_000L)[it % 3]) },
            ) { naive, implementation ->
                val most = naive.recomputedAfterNotice / 10
                listOfNotNull(
                    "${implementation.recomputedAfterNotice} tokens recomputed after a notice, at most $most allowed".takeIf {
                        implementation.recomputedAfterNotice > most
                    },
                )
            }

        /** One in five connections goes silent for good. */
        val SILENT_CONNECTION =
            StreamExperiment(
                "silent-connection",
                "every answer whole, 0 healthy upstreams judged dead, no gap between tokens above $MAX_GAP_MILLIS ms",
                { StreamFaults(silentPercent = 20) },
            ) { _, implementation ->
                listOfNotNull(
                    "${implementation.misjudged} healthy upstreams judged dead".takeIf { implementation.misjudged > 0 },
                    "gap of ${implementation.longestGapMillis} ms".takeIf { implementation.longestGapMillis > MAX_GAP_MILLIS },
                )
            }
    }
}
