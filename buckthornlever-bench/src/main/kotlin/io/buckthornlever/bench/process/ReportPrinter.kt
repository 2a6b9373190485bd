package io.buckthornlever.bench.process

import java.util.Locale

/** Formats an experiment's report as a table for people. */
internal object ReportPrinter {
    fun format(report: ExperimentReport): String =
        buildString {
            appendLine("${report.name} (seed ${report.seed})")
            appendLine("bound: ${report.bound}")
            appendLine("%-44s %14s %14s  %s".format("metric", "naive", "implementation", "unit"))
            report.measurements.forEach { appendLine(row(it)) }
            report.violations.forEach { appendLine("VIOLATED: $it") }
            append(if (report.passed) "PASSED" else "FAILED")
        }

    private fun row(measurement: Measurement): String =
        "%-44s %14s %14s  %s".format(
            measurement.metric,
            measurement.naive?.let(::number) ?: "-",
            number(measurement.implementation),
            measurement.unit,
        )

    private fun number(value: Double): String = "%.3f".format(Locale.ROOT, value)
}
