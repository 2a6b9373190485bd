package io.buckthornlever.bench.process

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** `list`: prints every experiment with its bound. */
@OptIn(ExperimentalCli::class)
internal class ListCommand : Subcommand("list", "List the experiments") {
    override fun execute() {
        ExperimentRegistry.all.forEach { println("%-20s %s".format(it.name, it.bound)) }
    }
}
