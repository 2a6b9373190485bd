package io.buckthornlever.daemon

import com.github.michaelbull.result.fold
import io.buckthornlever.api.process.ConfigurationError
import io.buckthornlever.daemon.process.BuildVersion
import io.buckthornlever.daemon.process.Daemon
import io.buckthornlever.daemon.process.Settings
import io.buckthornlever.daemon.process.SettingsParser
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

private const val EXIT_BAD_SETTINGS = 2

/** Entry point of `buckthornleverd`. Exits with status 2 when the settings are missing or invalid. */
public fun main(args: Array<String>) {
    val parser = ArgParser("buckthornleverd")
    val file by parser.option(ArgType.String, "settings", description = "Settings file in JSON")
    val checkOnly by parser.option(ArgType.Boolean, "check", description = "Check the settings and exit").default(false)
    val showVersion by parser.option(ArgType.Boolean, "version", description = "Print the version and exit").default(false)
    parser.parse(args)
    if (showVersion) {
        println("buckthornleverd ${BuildVersion.text}")
        exitProcess(0)
    }
    val settings = load(file ?: refuse(listOf("--settings FILE is required")))
    if (checkOnly) {
        println("settings are valid")
        exitProcess(0)
    }
    run(settings)
}

private fun run(settings: Settings) {
    val daemon = Daemon(settings)
    Runtime.getRuntime().addShutdownHook(Thread(daemon::close, "shutdown"))
    daemon.start()
    println("callers ${daemon.callerUrl} operators ${daemon.operatorUrl}")
}

private fun load(path: String): Settings {
    val text =
        try {
            File(path).readText()
        } catch (e: IOException) {
            refuse(listOf("cannot read $path: ${e.message}"))
        }
    return SettingsParser.parse(text).fold(success = { it }, failure = { refuse(describe(it)) })
}

private fun describe(error: ConfigurationError): List<String> =
    when (error) {
        is ConfigurationError.Malformed -> listOf(error.detail)
        is ConfigurationError.Invalid -> error.findings.map { it.toString() }
    }

private fun refuse(problems: List<String>): Nothing {
    problems.forEach { System.err.println("settings: $it") }
    exitProcess(EXIT_BAD_SETTINGS)
}
