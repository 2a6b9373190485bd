package io.buckthornlever.cli.process

import io.buckthornlever.cli.connection.OperatorClient
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.delimiter
import java.io.File
import java.io.IOException

/** Base class of all commands with their common options: the URLs of the daemons, the operator token and the output format. */
@OptIn(ExperimentalCli::class)
internal abstract class OperatorCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    private val servers by option(
        ArgType.String,
        "server",
        description = "Operator URLs of daemons, separated by commas (default: BUCKTHORNLEVER_SERVER)",
    ).delimiter(",")
    private val tokenFile by option(
        ArgType.String,
        "token-file",
        description = "File with the operator token (default: BUCKTHORNLEVER_TOKEN_FILE)",
    )
    protected val json: Boolean by option(ArgType.Boolean, "json", description = "Print JSON for scripts").default(false)

    /** Runs the command. A [CommandFailure] is printed to standard error and determines the exit code. */
    protected abstract fun perform()

    var exitCode: ExitCode = ExitCode.OK
        private set

    override fun execute() {
        exitCode =
            try {
                perform()
                ExitCode.OK
            } catch (e: CommandFailure) {
                System.err.println("buckthornleverctl: ${e.message}")
                e.exitCode
            }
        if (exitCode != ExitCode.OK) kotlin.system.exitProcess(exitCode.value)
    }

    /** Returns one client for each daemon of `--server` or BUCKTHORNLEVER_SERVER. */
    protected fun clients(): List<OperatorClient> {
        val urls = urls()
        if (urls.isEmpty()) throw CommandFailure(ExitCode.USAGE, "give --server URL or set BUCKTHORNLEVER_SERVER")
        val path =
            tokenFile ?: System.getenv("BUCKTHORNLEVER_TOKEN_FILE")
                ?: throw CommandFailure(ExitCode.USAGE, "give --token-file FILE or set BUCKTHORNLEVER_TOKEN_FILE")
        val token = readFile(path).trim()
        return urls.map { OperatorClient(it, token) }
    }

    /** True if daemons are named by `--server` or BUCKTHORNLEVER_SERVER. */
    protected fun hasServers(): Boolean = urls().isNotEmpty()

    private fun urls(): List<String> =
        servers.ifEmpty { System.getenv("BUCKTHORNLEVER_SERVER")?.split(",").orEmpty() }.map { it.trim().trimEnd('/') }

    /** Runs [action] on the daemons in order and returns the result of the first one that is reachable. */
    protected fun <T> onFirstReachable(action: (OperatorClient) -> T): T {
        val all = clients()
        all.dropLast(1).forEach { client ->
            try {
                return action(client)
            } catch (e: CommandFailure) {
                if (!e.message.orEmpty().startsWith("cannot reach")) throw e
            }
        }
        return action(all.last())
    }

    /** Returns the content of [path] (`-` for standard input); throws [CommandFailure] with [ExitCode.USAGE] if it cannot be read. */
    protected fun readFile(path: String): String =
        try {
            if (path == "-") System.`in`.readAllBytes().toString(Charsets.UTF_8) else File(path).readText()
        } catch (e: IOException) {
            throw CommandFailure(ExitCode.USAGE, "cannot read $path: ${e.message}")
        }
}
