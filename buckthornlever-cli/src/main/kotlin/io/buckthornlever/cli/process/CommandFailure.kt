package io.buckthornlever.cli.process

/** Ends a command with a message for the operator. */
internal class CommandFailure(
    val exitCode: ExitCode,
    message: String,
) : RuntimeException(message)
