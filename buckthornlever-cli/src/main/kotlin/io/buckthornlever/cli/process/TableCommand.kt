package io.buckthornlever.cli.process

import com.github.michaelbull.result.getError
import io.buckthornlever.api.process.ConfigurationError
import io.buckthornlever.core.process.TableCodec
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.optional

/** `routes` and `pools`: prints, replaces, validates or compares a table. */
@OptIn(ExperimentalCli::class)
internal class TableCommand(
    private val table: String,
) : OperatorCommand(table, "Read or change the $table table") {
    private val action by argument(ArgType.Choice(listOf("get", "put", "validate", "diff"), { it }), description = "What to do")
    private val file by argument(ArgType.String, description = "File with the table, - for standard input").optional()
    private val waitSeconds by option(
        ArgType.Int,
        "wait-seconds",
        description = "How long to wait until the change is in effect everywhere",
    ).default(DEFAULT_WAIT_SECONDS)

    override fun perform() {
        when (action) {
            "get" -> println(JsonText.prettyPrint(onFirstReachable { it.get(path()) }.bodyOrFail()))
            "put" -> put(readInput())
            "validate" -> validate(readInput())
            else -> diff(readInput())
        }
    }

    private fun put(text: String) {
        val response =
            onFirstReachable { client ->
                val current = client.get(path())
                client.put(path(), text, current.etag?.takeUnless { it == ABSENT_TABLE_ETAG }).bodyOrFail()
            }
        PropagationWaiter(clients(), table, JsonText.parseRevision(response)).await(waitSeconds)
        println(if (json) response else "accepted with revision ${JsonText.parseRevision(response)}; in effect on every instance")
    }

    private fun validate(text: String) {
        val error = if (table == "routes") TableCodec.decodeRoutes(text, 0).getError() else TableCodec.decodePools(text, 0).getError()
        if (error != null) throw CommandFailure(ExitCode.USAGE, describe(error))
        println("valid")
    }

    private fun diff(text: String) {
        val stored = JsonText.prettyPrint(onFirstReachable { it.get(path()) }.bodyOrFail()).lines()
        val changed = JsonText.prettyPrint(text).lines()
        (stored - changed.toSet()).forEach { println("- $it") }
        (changed - stored.toSet()).forEach { println("+ $it") }
    }

    private fun describe(error: ConfigurationError): String =
        when (error) {
            is ConfigurationError.Malformed -> error.detail
            is ConfigurationError.Invalid -> error.findings.joinToString("\n")
        }

    private fun readInput(): String =
        readFile(file ?: throw CommandFailure(ExitCode.USAGE, "$table $action needs a file argument (- for standard input)"))

    private fun path(): String = "/admin/config/$table"

    private companion object {
        /** ETag of a table that has not been stored yet. */
        const val ABSENT_TABLE_ETAG = "\"0\""
        const val DEFAULT_WAIT_SECONDS = 15
    }
}
