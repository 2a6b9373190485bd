package io.buckthornlever.cli

import io.buckthornlever.cli.process.CheckCommand
import io.buckthornlever.cli.process.DomainCommand
import io.buckthornlever.cli.process.DumpCommand
import io.buckthornlever.cli.process.ExplainCommand
import io.buckthornlever.cli.process.StatusCommand
import io.buckthornlever.cli.process.TableCommand
import io.buckthornlever.cli.process.WatchCommand
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

/** Entry point of `buckthornleverctl`. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("buckthornleverctl", strictSubcommandOptionsOrder = false)
    parser.subcommands(
        TableCommand("routes"),
        TableCommand("pools"),
        CheckCommand(),
        DomainCommand(),
        StatusCommand(),
        DumpCommand(),
        ExplainCommand(),
        WatchCommand(),
    )
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    exitProcess(0)
}
