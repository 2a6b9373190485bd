package io.buckthornlever.bench.process

import io.buckthornlever.core.process.SpreadPlanner

/** Cost and latency target over one day with reclaim waves, refused starts, lost answers and changes of the lease holder. */
internal class CapacityExperiment : Experiment {
    override val name = "capacity"
    override val bound =
        "cost at least 30% below all on-demand; the capacity at the latency target is exceeded in at most 0.1% of the day; " +
            "no order takes effect twice"

    override fun run(options: ExperimentOptions): ExperimentReport {
        val seeds = List((options.duration.seconds / 2).toInt().coerceAtLeast(1)) { options.seed * 1_000_003 + it }
        val results = seeds.parallelStream().map { CapacitySimulation(it, ::spread).run() }.toList()
        val naive = seeds.parallelStream().map { CapacitySimulation(it, ::onDemand).run() }.toList()
        val measurements =
            listOf(
                pair("days", "days", naive, results) { it.size.toDouble() },
                pair("cost per day, average", "", naive, results) { all -> all.map { it.cost }.average() },
                pair("cost of the dearest day relative to all on-demand", "%", naive, results) { all -> worst(all, naive) },
                pair("capacity exceeded, worst day", "% of day", naive, results) { all -> all.maxOf { it.missedPercent } },
                pair("instances started", "", naive, results) { all -> all.sumOf { it.starts }.toDouble() },
                pair("starts refused", "", naive, results) { all -> all.sumOf { it.refusals }.toDouble() },
                pair("orders that took effect twice", "", naive, results) { all -> all.sumOf { it.duplicates }.toDouble() },
                pair("calls repeated after a lost answer", "", naive, results) { all -> all.sumOf { it.repeatedCalls }.toDouble() },
                pair("orders to engines", "", naive, results) { all -> all.sumOf { it.engineOrders }.toDouble() },
            )
        return ExperimentReport(name, bound, options.seed, measurements, results.zip(naive).flatMap { violations(it.first, it.second) })
    }

    private fun spread() = SpreadPlanner()

    private fun onDemand() = AllOnDemandPlanning()

    private fun worst(
        all: List<CapacityResult>,
        naive: List<CapacityResult>,
    ): Double = all.zip(naive).maxOf { 100 * it.first.cost / it.second.cost }

    private fun pair(
        metric: String,
        unit: String,
        naive: List<CapacityResult>,
        results: List<CapacityResult>,
        figure: (List<CapacityResult>) -> Double,
    ): Measurement = Measurement(metric, unit, figure(naive), figure(results))

    private fun violations(
        result: CapacityResult,
        naive: CapacityResult,
    ): List<String> {
        val found = mutableListOf<String>()
        if (result.cost > naive.cost * MAX_COST) found.add("cost ${result.cost} against ${naive.cost} all on-demand")
        if (result.missedPercent > MAX_MISSED_PERCENT) found.add("capacity exceeded in ${result.missedPercent}% of the day")
        if (naive.missedPercent > MAX_MISSED_PERCENT) found.add("the baseline misses the target too and cannot be compared: $naive")
        if (result.duplicates > 0) found.add("${result.duplicates} orders took effect twice or without a record")
        return found
    }

    private companion object {
        const val MAX_COST = 0.7
        const val MAX_MISSED_PERCENT = 0.1
    }
}
