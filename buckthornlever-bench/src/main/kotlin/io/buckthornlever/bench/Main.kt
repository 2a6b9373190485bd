package io.buckthornlever.bench

import io.buckthornlever.bench.process.ListCommand
import io.buckthornlever.bench.process.QuickstartCommand
import io.buckthornlever.bench.process.RunCommand
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

/** Entry point of `buckthornlever-bench`. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("buckthornlever-bench", strictSubcommandOptionsOrder = true)
    parser.subcommands(QuickstartCommand(), ListCommand(), RunCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    exitProcess(0)
}
