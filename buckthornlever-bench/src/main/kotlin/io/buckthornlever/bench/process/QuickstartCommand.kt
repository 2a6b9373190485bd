package io.buckthornlever.bench.process

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.time.Duration
import kotlin.system.exitProcess

/** `quickstart`: runs a whole site on stand-ins and exits with 1 when a line of what must always hold is violated. */
@OptIn(ExperimentalCli::class)
internal class QuickstartCommand : Subcommand("quickstart", "Run a whole site on stand-ins and check what must always hold") {
    private val site by option(ArgType.String, description = "pecan-row or kasavu-line").default(Site.PECAN_ROW.siteName)
    private val seconds by option(ArgType.Int, description = "Length of the run, in seconds").default(DEFAULT_SECONDS)
    private val seed by option(ArgType.Int, description = "Seed of the traffic").default(1)

    override fun execute() {
        val place = Site.named(site) ?: fail("unknown site '$site'; use pecan-row or kasavu-line")
        if (seconds < MIN_SECONDS) fail("--seconds must be at least $MIN_SECONDS")
        val results = Quickstart(place, Duration.ofSeconds(seconds.toLong()), seed.toLong()).run()
        results.forEach(::print)
        exitProcess(if (results.all { it.violations.isEmpty() }) 0 else 1)
    }

    private fun print(result: InvariantResult) {
        val verdict = if (result.violations.isEmpty()) "holds" else "VIOLATED"
        println("%-70s %7d checked %4d violated  %s".format(result.name, result.checked, result.violations.size, verdict))
        result.violations.take(MAX_PRINTED).forEach { println("    $it") }
    }

    private fun fail(message: String): Nothing {
        System.err.println(message)
        exitProcess(2)
    }

    private companion object {
        const val DEFAULT_SECONDS = 20
        const val MIN_SECONDS = 10
        const val MAX_PRINTED = 5
    }
}
