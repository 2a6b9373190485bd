package io.buckthornlever.cli.process

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.optional

/** `check`: checks tables before they are sent, by themselves and against the ones in force. */
@OptIn(ExperimentalCli::class)
internal class CheckCommand : OperatorCommand("check", "Check tables before they are put") {
    private val file by argument(ArgType.String, description = "File with one or more tables, - for standard input")
    private val inForceFile by argument(
        ArgType.String,
        "in-force",
        description = "File with the tables in force (default: those of the daemons, if any are given)",
    ).optional()

    override fun perform() {
        val report = CheckReport.of(ConfigurationTables.parse(readFile(file), file), readInForce())
        println(if (json) report.toJson() else report.toText())
        if (report.errors.isNotEmpty()) throw CommandFailure(ExitCode.USAGE, "$file would be refused")
    }

    private fun readInForce(): ConfigurationTables? {
        inForceFile?.let { return ConfigurationTables.parse(readFile(it), it) }
        if (!hasServers()) return null
        return onFirstReachable { client -> ConfigurationTables.fetch { client.get("/admin/config/$it").bodyOrFail() } }
    }
}
