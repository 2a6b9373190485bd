package io.buckthornlever.bench.process.control

import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import io.buckthornlever.core.process.lease.LeaseSettings

/** Two holders and overlapping orders under generated pauses, lost answers and drifting clocks. */
internal class LeaseExperiment : Experiment {
    override val name = "lease"
    override val bound =
        "$SCHEDULES schedules of ${STEPS / 10} s: no moment with two holders, no overlap of orders to an engine that ignores fencing " +
            "numbers, no falling fencing number"

    override fun run(options: ExperimentOptions): ExperimentReport {
        val naive = schedules(options.seed, naive = true)
        val ours = schedules(options.seed, naive = false)

        fun row(metric: String, value: (LeaseSchedule) -> Long) =
            Measurement(metric, "", naive.sumOf(value).toDouble(), ours.sumOf(value).toDouble())
        val measurements = listOf(
            row("moments with two holders") { it.doubleHolders },
            row("overlapping unfenced orders") { it.overlaps },
            row("schedules with an overlap") { if (it.overlaps > 0) 1 else 0 },
            row("orders with a falling fencing number") { it.staleAccepted },
            row("unfenced orders issued") { it.orders },
        )
        val broken = measurements.take(FAULT_ROWS).filter { it.implementation > 0 }
        val idle = if (ours.sumOf { it.orders } == 0L) listOf("no order was issued") else emptyList()
        return ExperimentReport(
            name,
            bound,
            options.seed,
            measurements,
            broken.map {
                "${it.metric}: ${it.implementation.toLong()}"
            } + idle,
        )
    }

    private fun schedules(seed: Long, naive: Boolean): List<LeaseSchedule> =
        List(SCHEDULES) { index -> LeaseSchedule(seed * SCHEDULES + index, INSTANCES, LeaseSettings(), naive).also { it.run(STEPS) } }

    private companion object {
        const val SCHEDULES = 300
        const val STEPS = 6_000
        const val INSTANCES = 3
        const val FAULT_ROWS = 4
    }
}
