package io.buckthornlever.cli.process

/** Exit codes of the operator tool. */
internal enum class ExitCode(
    val value: Int,
) {
    /** The command succeeded. */
    OK(0),

    /** The daemon rejected the command or cannot be reached; nothing was changed unless the message says otherwise. */
    FAILED(1),

    /** The command line or an input file is invalid. */
    USAGE(2),

    /** The change was accepted, but not every instance reported it as in effect in time. */
    NOT_EVERYWHERE(3),
}
