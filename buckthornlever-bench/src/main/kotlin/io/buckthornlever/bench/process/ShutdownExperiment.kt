package io.buckthornlever.bench.process

import io.buckthornlever.core.process.ShutdownCommand
import io.buckthornlever.core.process.ShutdownEvent
import io.buckthornlever.core.process.ShutdownMachine
import io.buckthornlever.core.process.ShutdownState
import io.buckthornlever.core.request.StateMachine

/** Requests cut by shutdowns with notices from 6 to 30 s. */
internal object ShutdownExperiment : Experiment {
    override val name: String = "shutdown"
    override val bound: String = "0 requests cut, every shutdown within its notice, peers told in every shutdown"

    private const val ROUNDS_PER_SECOND = 10

    private class Totals(
        runs: List<ShutdownSimulation>,
    ) {
        val requests = runs.sumOf { it.requests }
        val cut = runs.sumOf { it.cut }
        val handedOver = runs.sumOf { it.handedOver }
        val untold = runs.count { !it.peersTold }
        val late = runs.count { it.late }
    }

    override fun run(options: ExperimentOptions): ExperimentReport {
        val naive = measure(NaiveShutdown, options)
        val implementation = measure(ShutdownMachine, options)
        val violations =
            listOfNotNull(
                "${implementation.cut} requests cut".takeIf { implementation.cut > 0 },
                "${implementation.late} shutdowns after their notice".takeIf { implementation.late > 0 },
                "${implementation.untold} shutdowns without a word to peers".takeIf { implementation.untold > 0 },
            )
        val measurements =
            listOf(
                Measurement("requests", "requests", naive.requests.toDouble(), implementation.requests.toDouble()),
                Measurement("requests cut", "requests", naive.cut.toDouble(), implementation.cut.toDouble()),
                Measurement("streams handed over", "streams", naive.handedOver.toDouble(), implementation.handedOver.toDouble()),
                Measurement("shutdowns unknown to peers", "shutdowns", naive.untold.toDouble(), implementation.untold.toDouble()),
                Measurement("shutdowns after their notice", "shutdowns", naive.late.toDouble(), implementation.late.toDouble()),
            )
        return ExperimentReport(name, bound, options.seed, measurements, violations)
    }

    private fun measure(
        machine: StateMachine<ShutdownState, ShutdownEvent, ShutdownCommand>,
        options: ExperimentOptions,
    ): Totals {
        val rounds = ROUNDS_PER_SECOND * options.duration.toSeconds().toInt()
        return Totals(List(rounds) { ShutdownSimulation(machine, options.seed * rounds + it).also(ShutdownSimulation::run) })
    }
}
