package io.buckthornlever.cli.process

/** Aborts a command with a message for the operator and an exit code. */
internal class CommandFailure(
    val exitCode: ExitCode,
    message: String,
) : RuntimeException(message)
