package io.buckthornlever.bench.process

import java.time.Duration

/** Loss of one of three failure domains and its return, by operators, by a reclaim wave and without notice. */
internal class DomainExperiment : Experiment {
    override val name = "domain"
    override val bound =
        "no lookup lost; p95 of lookups during the loss at most 2 times the p95 before; " +
            "no call above an upstream's capacity at the return; no new work on the domain 3 s after it was taken out"

    override fun run(options: ExperimentOptions): ExperimentReport {
        val runs = (options.duration.seconds * RUNS_PER_SECOND).toInt().coerceAtLeast(DomainLoss.entries.size)
        val inputs = List(runs) { options.seed * 1_000_003 + it to DomainLoss.entries[it % DomainLoss.entries.size] }
        val results = inputs.parallelStream().map { DomainSimulation(it.first, it.second, naive = false).run() }.toList()
        val naive = inputs.parallelStream().map { DomainSimulation(it.first, it.second, naive = true).run() }.toList()
        return ExperimentReport(name, bound, options.seed, measurements(naive, results), results.flatMap(::violations))
    }

    private fun measurements(
        naive: List<DomainResult>,
        results: List<DomainResult>,
    ): List<Measurement> =
        listOf(
            pair("lookups", "calls", naive, results) { all -> all.sumOf { it.lookups }.toDouble() },
            pair("lookups lost", "calls", naive, results) { all -> all.sumOf { it.lookupsLost }.toDouble() },
            pair("long jobs lost", "calls", naive, results) { all -> all.sumOf { it.longLost }.toDouble() },
            pair("calls above the capacity at the return", "calls", naive, results) { all -> all.sumOf { it.overLimit }.toDouble() },
            pair("new work on the lost domain after 3 s", "calls", naive, results) { all -> all.sumOf { it.newWorkAfterStop }.toDouble() },
        ) + DomainLoss.entries.flatMap { loss -> latencies(loss, naive.filter { it.loss == loss }, results.filter { it.loss == loss }) }

    private fun latencies(
        loss: DomainLoss,
        naive: List<DomainResult>,
        results: List<DomainResult>,
    ): List<Measurement> {
        val label = "worst p95 of lookups, ${loss.name.lowercase()}"
        return listOf(
            pair("$label, before", "ms", naive, results) { all -> millis(all.maxOf { it.p95Before }) },
            pair("$label, during", "ms", naive, results) { all -> millis(all.maxOf { it.p95During }) },
            pair("$label, return", "ms", naive, results) { all -> millis(all.maxOf { it.p95Return }) },
        )
    }

    private fun pair(
        metric: String,
        unit: String,
        naive: List<DomainResult>,
        results: List<DomainResult>,
        figure: (List<DomainResult>) -> Double,
    ): Measurement = Measurement(metric, unit, figure(naive), figure(results))

    private fun violations(result: DomainResult): List<String> {
        val found = mutableListOf<String>()
        if (result.lookupsLost > 0) found.add("${result.lookupsLost} lookups lost: $result")
        if (result.p95During > result.p95Before.multipliedBy(2)) found.add("p95 of lookups during the loss: $result")
        if (result.overLimit > 0) found.add("${result.overLimit} calls above the capacity at the return: $result")
        if (result.loss == DomainLoss.OPERATOR && result.newWorkAfterStop > 0) found.add("new work on a domain taken out: $result")
        return found
    }

    private fun millis(duration: Duration): Double = duration.toNanos() / 1e6

    private companion object {
        const val RUNS_PER_SECOND = 3
    }
}
