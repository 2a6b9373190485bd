package io.buckthornlever.cli.process

/** Exit codes of the operator tool. */
internal enum class ExitCode(
    val value: Int,
) {
    /** The command did what it says. */
    OK(0),

    /** The daemon refused the command or cannot be reached; nothing was changed unless the message says otherwise. */
    FAILED(1),

    /** The command line or an input file is wrong. */
    USAGE(2),

    /** The change is accepted, but not every instance reported it in time. */
    NOT_EVERYWHERE(3),
}
