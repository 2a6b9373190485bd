package io.buckthornlever.cli.process

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.vararg
import java.io.File
import java.io.IOException

/** `explain`: tells from the logs of instances why a request was delayed, refused or failed. */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand : OperatorCommand("explain", "Tell from logs what happened to a request") {
    private val request by argument(ArgType.String, description = "Id of the request")
    private val files by argument(ArgType.String, "logs", description = "Logs of instances, - for standard input").vararg()

    override fun perform() {
        val explanation =
            try {
                RequestExplanation.of(request, files.asSequence().flatMap(::linesOf))
            } catch (e: IOException) {
                throw CommandFailure(ExitCode.USAGE, "cannot read the logs: ${e.message}")
            } ?: throw CommandFailure(ExitCode.FAILED, "no line about $request in ${files.joinToString()}")
        println(if (json) explanation.toJson() else explanation.toText())
    }

    // Logs may be larger than the memory of this process, so they are read line by line.
    private fun linesOf(path: String): Sequence<String> =
        sequence {
            val reader = if (path == "-") System.`in`.bufferedReader() else File(path).bufferedReader()
            reader.useLines { yieldAll(it) }
        }
}
