package io.buckthornlever.bench.process

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import java.io.File
import java.time.Duration
import kotlin.system.exitProcess

/** `run NAME`: runs one experiment and exits with 1 when its bound is missed. */
@OptIn(ExperimentalCli::class)
internal class RunCommand : Subcommand("run", "Run one experiment") {
    private val experiment by argument(ArgType.String, description = "Name of the experiment")
    private val seed by option(ArgType.Int, description = "Seed of the generated input").default(DEFAULT_SEED)
    private val seconds by option(ArgType.Int, description = "Length of the run, in seconds").default(DEFAULT_SECONDS)
    private val site by option(ArgType.String, description = "pecan-row or kasavu-line").default(Site.PECAN_ROW.siteName)
    private val json by option(ArgType.String, description = "File for the report as JSON")

    override fun execute() {
        val found = ExperimentRegistry.find(experiment) ?: fail("unknown experiment '$experiment'; see 'list'")
        val place = Site.named(site) ?: fail("unknown site '$site'; use pecan-row or kasavu-line")
        if (seconds <= 0) fail("--seconds must be positive")
        val report = found.run(ExperimentOptions(seed.toLong(), Duration.ofSeconds(seconds.toLong()), place))
        println(ReportPrinter.format(report))
        json?.let { File(it).writeText(PRETTY.encodeToString(ExperimentReport.serializer(), report)) }
        exitProcess(if (report.passed) 0 else 1)
    }

    private fun fail(message: String): Nothing {
        System.err.println(message)
        exitProcess(2)
    }

    private companion object {
        const val DEFAULT_SEED = 1
        const val DEFAULT_SECONDS = 10
        val PRETTY = Json { prettyPrint = true }
    }
}
